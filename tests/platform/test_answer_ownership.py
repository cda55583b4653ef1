"""Whose answer it is, for each kind of exchange with an upstream."""

import itertools
from collections.abc import Iterator

import gevent
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.forwarding import AttemptState
from guavagate.forwarding._probes import ProbeState
from guavagate.http1 import Request
from guavagate.models import WeightVersion
from guavagate.ports.dialect import Call
from guavagate.ports.sampler import (
    ItemRequest,
    OrderRefusedError,
)
from tests.platform.answer_bench import AnswerBench
from tests.platform.answer_bench import make_bench as make_bench

_LIMIT_SECONDS = 10
_MEGABYTE = 1_000_000


def _encode(status: int, body: bytes, *headers: bytes) -> bytes:
    lines = (
        b'HTTP/1.1 %d X' % status,
        b'Content-Length: %d' % len(body),
        *headers,
    )
    return b'\r\n'.join((*lines, b'', body))


def _answer(name: str) -> bytes:
    """Return the complete answer to a request."""
    echoed = b'Guavagate-Request-Id: %s' % name.encode()
    return _encode(200, name.encode(), echoed, b'Guavagate-Server-Seal: s')


_HEALTH = _encode(200, b'', b'Guavagate-Instance-Id: a')
_REPORT = _encode(
    200,
    b'{"models":[{"name":"m","version":3}],"seq":1}',
    b'Content-Type: application/json',
)
_ACCEPTED = _encode(202, b'')
_OTHER = _answer('other')
_REFUSAL = _encode(503, b'', b'Guavagate-Not-Executed: 1')


def test_a_health_checks_answer_is_no_answer_to_a_request(
    bench: AnswerBench,
) -> None:
    """A late extra answer moved each answer to the exchange after its own."""
    bench.script = [_HEALTH]
    assert bench.request('r-1') is None


def test_a_success_without_a_signature_is_not_the_upstreams(
    bench: AnswerBench,
) -> None:
    """A caller must not take bytes for an answer that no upstream vouches."""
    bench.script = [_encode(200, b'x', b'Guavagate-Request-Id: r-1')]
    assert bench.request('r-1') is None


def test_a_late_extra_answer_is_no_answer_to_a_probe(
    bench: AnswerBench,
) -> None:
    """Its connection went back to the pool with the true answer still due."""
    bench.script = [_answer('r-1'), _answer('r-1')]
    assert bench.request('r-1') == b'r-1'
    assert bench.probe() is ProbeState.UNKNOWN
    assert not bench.pool.count_idle_connections(bench.upstream.address)


def test_an_unmarked_refusal_on_a_used_connection_is_not_believed(
    bench: AnswerBench,
) -> None:
    """It may answer an earlier exchange, and "not run" would be false."""
    bench.script = [_answer('r-1'), _REFUSAL]
    assert bench.request('r-1') == b'r-1'
    call = Call(
        id='r-2',
        request=Request('POST', '/x', [(b'Host', b'h')]),
        body=b'',
        until=SystemClock().now() + 1,
    )
    attempt = bench.runner.make(call, bench.upstream, reuse=True)
    assert attempt.state is AttemptState.BROKEN


def test_an_unmarked_refusal_on_a_new_connection_is_believed(
    bench: AnswerBench,
) -> None:
    """Nothing else was sent there, so it can't answer another request."""
    bench.script = [_REFUSAL]
    item = ItemRequest(
        id='i', host='h', path='/i', headers={}, body=b'', resume_after=0
    )
    with pytest.raises(UpstreamNotStartedError):
        bench.samplers.run(bench.upstream, item, 'm')


def test_a_stream_of_another_request_is_no_items_text(
    bench: AnswerBench,
) -> None:
    """Its events would be delivered as the item's text."""
    bench.script = [
        _encode(200, b'id: 1\ndata: x\n\n', b'Guavagate-Server-Seal: s')
    ]
    with pytest.raises(UpstreamError):
        bench.run_item('i-1')


@pytest.mark.parametrize(
    'other', [_OTHER, _HEALTH, _ACCEPTED], ids=['request', 'probe', 'order']
)
def test_only_a_report_is_taken_for_one(
    bench: AnswerBench, other: bytes
) -> None:
    """Samplers would seem to have no models, or those of another moment."""
    bench.script = [other]
    with pytest.raises(UpstreamError):
        bench.samplers.report(bench.upstream)
    assert not bench.pool.count_idle_connections(bench.upstream.address)


@pytest.mark.parametrize(
    'other', [_OTHER, _HEALTH, _REPORT], ids=['request', 'probe', 'report']
)
def test_only_an_orders_answer_is_taken_for_one(
    bench: AnswerBench, other: bytes
) -> None:
    """The order would count as carried out, or as holding already."""
    bench.script = [_REPORT, other]
    bench.samplers.report(bench.upstream)
    with pytest.raises((UpstreamError, OrderRefusedError)):
        bench.order()


def _repeat_forever(part: bytes) -> Iterator[bytes]:
    return itertools.repeat(part)


_ENDLESS_HEAD = b'HTTP/1.1 200 X\r\nA: aaa'
_INTERIM = b'HTTP/1.1 103 X\r\n\r\n'
_ENDLESS_BODY = b'HTTP/1.1 200 X\r\n%sConnection: close\r\n\r\n'
_MARKS = {
    'request': b'Guavagate-Request-Id: r\r\nGuavagate-Server-Seal: s\r\n',
    'item': b'Guavagate-Request-Id: r\r\n',
    'probe': b'Guavagate-Instance-Id: a\r\n',
    'report': b'Content-Type: application/json\r\n',
    'order': b'',
}


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (_ENDLESS_HEAD, b'a' * 10_000),
        (_INTERIM, _INTERIM * 100),
        (_ENDLESS_BODY, b'a' * 100_000),
    ],
    ids=['head', 'interim answers', 'body'],
)
@pytest.mark.parametrize('kind', list(_MARKS))
def test_bytes_without_end_are_bounded(
    bench: AnswerBench, start: bytes, part: bytes, kind: str
) -> None:
    """They were read until the deadline, or for ever, and filled the memory."""
    if start == _ENDLESS_BODY:
        start %= _MARKS[kind]
    bench.script = [itertools.chain((start,), _repeat_forever(part))]
    if kind == 'request':
        assert bench.request('r', seconds=3) is None
    elif kind == 'probe':
        assert bench.probe() is not ProbeState.ANSWERED
    elif kind == 'report':
        with pytest.raises(UpstreamError):
            bench.samplers.report(bench.upstream)
    elif kind == 'order':
        with pytest.raises((UpstreamError, OrderRefusedError)):
            bench.order()
    else:
        with pytest.raises(UpstreamError), gevent.Timeout(3):
            bench.run_item('r')
    assert bench.peak <= 17 * _MEGABYTE


_EXTRAS = st.sampled_from(
    (b'', _OTHER, _HEALTH, _REPORT, _ACCEPTED, _REFUSAL, b'\x00garbage\r\n\r\n')
)


@settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    plan=st.lists(
        st.tuples(
            st.sampled_from(('request', 'probe', 'report')),
            _EXTRAS,
            st.booleans(),
            st.integers(0, 400),
        ),
        min_size=2,
        max_size=6,
    )
)
def test_no_exchange_takes_anothers_answer(
    plan: list[tuple[str, bytes, bool, int]],
) -> None:
    """Extra answers come before or after an answer, split at any byte.

    A request gets its own complete body or none, and a report its own models.
    """
    bench = AnswerBench()
    try:
        with gevent.Timeout(_LIMIT_SECONDS * 3):
            _play(bench, plan)
    finally:
        bench.close()


def _play(bench: AnswerBench, plan: list[tuple[str, bytes, bool, int]]) -> None:
    for number, (kind, extra, is_first, cut) in enumerate(plan):
        name = f'r-{number}'
        own = {
            'request': _answer(name),
            'probe': _HEALTH,
            'report': _REPORT,
        }[kind]
        sent = extra + own if is_first else own + extra
        bench.script = [iter((sent[:cut], sent[cut:]))]
        if kind == 'request':
            assert bench.request(name, seconds=0.2) in {None, name.encode()}
        elif kind == 'probe':
            bench.probe()
        else:
            try:
                report = bench.samplers.report(bench.upstream)
            except UpstreamError:
                continue
            assert report.versions == {'m': WeightVersion(3)}
