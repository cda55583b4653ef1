"""Whose answer it is, for each kind of exchange with an upstream."""

import itertools
import re
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.forwarding import AttemptRunner, AttemptState
from guavagate.forwarding._probes import Prober, ProbeState
from guavagate.http1 import ConnectionPool, Request
from guavagate.metrics import Metrics
from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._samplers import PlatformSamplers
from guavagate.ports.configuration import Configuration, Service
from guavagate.ports.dialect import Call
from guavagate.ports.sampler import (
    ItemRequest,
    OrderRefusedError,
    VersionOrder,
)
from guavagate.ports.upstreams import Upstream
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import make_quarantine

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
_ORDER = VersionOrder(
    model='m',
    version=WeightVersion(2),
    keep_running=True,
    holder='h',
    generation=1,
    orders_taken=0,
)


def _read_request(sock: socket.socket) -> bool:
    """Read one whole request; return whether there was one."""
    data = b''
    while b'\r\n\r\n' not in data:
        received = sock.recv(65_536)
        if not received:
            return False
        data += received
    head, _, body = data.partition(b'\r\n\r\n')
    length = re.search(rb'(?i)content-length: *(\d+)', head)
    missing = int(length.group(1)) - len(body) if length else 0
    while missing > 0:
        missing -= len(sock.recv(missing))
    return True


class _Bench:
    """One upstream that sends scripted bytes, and every kind of exchange.

    Each request gets the next bytes of `script`; a list is sent part by part.
    """

    def __init__(self) -> None:
        clock = SystemClock()
        self.script: list[bytes | Iterator[bytes]] = []
        self.peak = 0
        self._held = 0
        self.pool = ConnectionPool(clock, self._charge)
        self.routes = RouteTable()
        service = Service(id=ServiceId('s'), slots=4, health_path='/health')
        self.routes.apply(
            Configuration(version=1, routes=(), services=(service,))
        )
        self.upstreams = UpstreamTable(clock, ZoneId('z'))
        self.server, upstream = start_upstream('a', 'z', self._serve)
        self.upstreams.put(upstream)
        dialect = PlatformDialect()
        self.runner = AttemptRunner(
            clock,
            self.pool,
            self.upstreams,
            dialect,
            make_quarantine(clock, self.upstreams),
        )
        self.prober = Prober(
            clock, self.pool, self.routes, dialect, Metrics(), self.upstreams
        )
        self.samplers = PlatformSamplers(self.pool)
        self._clock = clock

    @property
    def upstream(self) -> Upstream:
        """Return the upstream's registration."""
        found = self.upstreams.get(UpstreamId('a'))
        assert found is not None
        return found

    def request(self, name: str, seconds: float = 1.0) -> bytes | None:
        """Send a request; return its answer's body, or `None`."""
        call = Call(
            id=name,
            request=Request(
                'POST',
                '/x',
                [(b'Host', b'h'), (b'Guavagate-Request-Id', name.encode())],
            ),
            body=b'x',
            until=self._clock.now() + seconds,
        )
        attempt = self.runner.make(call, self.upstream, reuse=True)
        answered = attempt.state is AttemptState.ANSWERED
        return attempt.body if answered and attempt.status == 200 else None

    def probe(self) -> ProbeState:
        """Probe the upstream."""
        return self.prober.probe(self.upstream, 0.3, True).state

    def close(self) -> None:
        """Stop the upstream."""
        self.server.stop(0)

    def _charge(self, growth: int) -> None:
        self._held += growth
        self.peak = max(self.peak, self._held)

    def _serve(self, sock: socket.socket, _: object) -> None:
        try:
            while _read_request(sock):
                part = self.script.pop(0) if self.script else b''
                parts = (part,) if isinstance(part, bytes) else part
                for each in parts:
                    sock.sendall(each)
        except OSError:
            return


@pytest.fixture
def bench() -> Iterator[_Bench]:
    """Return a bench whose server stops after the test."""
    running = _Bench()
    with gevent.Timeout(_LIMIT_SECONDS):
        yield running
    running.close()


def _run_item(bench: _Bench, name: str) -> list[str]:
    """Run an item; return the texts of its events."""
    item = ItemRequest(
        id=name, host='h', path='/i', headers={}, body=b'', resume_after=0
    )
    run = bench.samplers.run(bench.upstream, item, 'm')
    return [event.text for event in run.events()]


def test_a_health_checks_answer_is_no_answer_to_a_request(
    bench: _Bench,
) -> None:
    """A late extra answer moved each answer to the exchange after its own."""
    bench.script = [_HEALTH]
    assert bench.request('r-1') is None


def test_a_success_without_a_signature_is_not_the_upstreams(
    bench: _Bench,
) -> None:
    """A caller must not take bytes for an answer that no upstream vouches."""
    bench.script = [_encode(200, b'x', b'Guavagate-Request-Id: r-1')]
    assert bench.request('r-1') is None


def test_a_late_extra_answer_is_no_answer_to_a_probe(bench: _Bench) -> None:
    """Its connection went back to the pool with the true answer still due."""
    bench.script = [_answer('r-1'), _answer('r-1')]
    assert bench.request('r-1') == b'r-1'
    assert bench.probe() is ProbeState.UNKNOWN
    assert not bench.pool.count_idle_connections(bench.upstream.address)


def test_an_unmarked_refusal_on_a_used_connection_is_not_believed(
    bench: _Bench,
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
    bench: _Bench,
) -> None:
    """Nothing else was sent there, so it can't answer another request."""
    bench.script = [_REFUSAL]
    item = ItemRequest(
        id='i', host='h', path='/i', headers={}, body=b'', resume_after=0
    )
    with pytest.raises(UpstreamNotStartedError):
        bench.samplers.run(bench.upstream, item, 'm')


def test_a_stream_of_another_request_is_no_items_text(bench: _Bench) -> None:
    """Its events would be delivered as the item's text."""
    bench.script = [
        _encode(200, b'id: 1\ndata: x\n\n', b'Guavagate-Server-Seal: s')
    ]
    with pytest.raises(UpstreamError):
        _run_item(bench, 'i-1')


@pytest.mark.parametrize(
    'other', [_OTHER, _HEALTH, _ACCEPTED], ids=['request', 'probe', 'order']
)
def test_only_a_report_is_taken_for_one(bench: _Bench, other: bytes) -> None:
    """Samplers would seem to have no models, or those of another moment."""
    bench.script = [other]
    with pytest.raises(UpstreamError):
        bench.samplers.report(bench.upstream)
    assert not bench.pool.count_idle_connections(bench.upstream.address)


@pytest.mark.parametrize(
    'other', [_OTHER, _HEALTH, _REPORT], ids=['request', 'probe', 'report']
)
def test_only_an_orders_answer_is_taken_for_one(
    bench: _Bench, other: bytes
) -> None:
    """The order would count as carried out, or as holding already."""
    bench.script = [_REPORT, other]
    bench.samplers.report(bench.upstream)
    with pytest.raises((UpstreamError, OrderRefusedError)):
        bench.samplers.order(bench.upstream, _ORDER)


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
    bench: _Bench, start: bytes, part: bytes, kind: str
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
            bench.samplers.order(bench.upstream, _ORDER)
    else:
        with pytest.raises(UpstreamError), gevent.Timeout(3):
            _run_item(bench, 'r')
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
    bench = _Bench()
    try:
        with gevent.Timeout(_LIMIT_SECONDS * 3):
            _play(bench, plan)
    finally:
        bench.close()


def _play(bench: _Bench, plan: list[tuple[str, bytes, bool, int]]) -> None:
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
