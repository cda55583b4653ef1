"""Broken answers of samplers, for each kind of exchange with them."""

import itertools
from collections.abc import Iterator
from typing import Final

import gevent
import pytest

from guavagate.exceptions import UpstreamError
from guavagate.forwarding._probes import ProbeState
from guavagate.http1 import MAX_BODY_BYTES
from guavagate.ports.sampler import OrderRefusedError
from tests.forwarding.stream_bench import END, StreamBench
from tests.http1.task_watch import MAX_PAUSE_SECONDS, TaskWatch
from tests.platform.answer_bench import AnswerBench
from tests.platform.answer_bench import make_bench as make_bench

_LIMIT_SECONDS: Final = 60
# What makes an answer the one to its exchange, and its body.
_ANSWERS: Final = {
    'request': (
        b'Guavagate-Request-Id: r\r\nGuavagate-Server-Seal: s\r\n',
        b'text',
    ),
    'item': (
        b'Guavagate-Request-Id: r\r\nGuavagate-Weight-Versions: 2\r\n',
        b'id: 1\ndata: a\n\n',
    ),
    'probe': (b'Guavagate-Instance-Id: a\r\n', b''),
    'report': (b'Content-Type: application/json\r\n', b'{}'),
    'order': (b'', b''),
}
_SOUND: Final = b'HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b'
_SOUND_STREAM: Final = (
    b'HTTP/1.1 200 OK\r\n%bConnection: close\r\n\r\n' % _ANSWERS['item'][0]
)
_BROKEN: Final = {
    'status 000': b'HTTP/1.1 000 X\r\n%bContent-Length: %d\r\n\r\n%b',
    'status 700': b'HTTP/1.1 700 X\r\n%bContent-Length: %d\r\n\r\n%b',
    'blank in a name': b'HTTP/1.1 200 X\r\n%b'
    b'A b: 1\r\nContent-Length: %d\r\n\r\n%b',
    'blank before a name': b'HTTP/1.1 200 X\r\n%b'
    b'A: 1\r\n Content-Length: %d\r\nConnection: close\r\n\r\n%b',
    'control byte in a name': b'HTTP/1.1 200 X\r\n%b'
    b'A\x02: 1\r\nContent-Length: %d\r\n\r\n%b',
    'control byte in a value': b'HTTP/1.1 200 X\r\n%b'
    b'A: \x02\r\nContent-Length: %d\r\n\r\n%b',
}


def _is_answered(bench: AnswerBench, kind: str, form: bytes) -> bool:
    """Return whether an exchange takes what it gets for its answer."""
    marks, body = _ANSWERS[kind]
    bench.script = [form % (marks, len(body), body)]
    if kind == 'request':
        return bench.request('r') is not None
    if kind == 'probe':
        return bench.probe() is ProbeState.ANSWERED
    calls = {
        'item': lambda: bench.run_item('r'),
        'report': lambda: bench.samplers.report(bench.upstream),
        'order': bench.order,
    }
    try:
        calls[kind]()
    except (UpstreamError, OrderRefusedError):
        return False
    return True


@pytest.mark.parametrize('kind', list(_ANSWERS))
def test_a_sound_answer_is_taken(bench: AnswerBench, kind: str) -> None:
    """The cases below would prove nothing if these were refused too."""
    assert _is_answered(bench, kind, _SOUND)


@pytest.mark.parametrize('kind', list(_ANSWERS))
@pytest.mark.parametrize('name', list(_BROKEN))
def test_what_is_no_answer_is_taken_for_none(
    bench: AnswerBench, kind: str, name: str
) -> None:
    """Callers got it as an answer, with another body than the sampler's."""
    assert not _is_answered(bench, kind, _BROKEN[name])
    assert not bench.pool.count_idle_connections(bench.upstream.address)


def _make_endless_events() -> Iterator[bytes]:
    yield _SOUND_STREAM
    for number in itertools.count(1):
        yield b'id: %d\ndata: a\n\n' % number


def test_other_tasks_run_while_an_item_gets_events_without_end() -> None:
    """The sampler was always ahead, and the process did nothing else."""
    bench = AnswerBench()
    sent = b''.join(itertools.islice(_make_endless_events(), 1_500_000))
    bench.script = [sent]
    watch = TaskWatch()
    with gevent.Timeout(_LIMIT_SECONDS), pytest.raises(UpstreamError):
        bench.run_item('r')
    bench.close()
    assert watch.stop() < MAX_PAUSE_SECONDS


@pytest.mark.parametrize('name', list(_BROKEN))
def test_a_stream_of_no_answer_is_refused(name: str) -> None:
    """Its caller would receive events, or a status that HTTP does not have."""
    bench = StreamBench()
    body = b'id: 1\ndata: a\n\n'
    bench.add('a', 'z', _BROKEN[name] % (b'', len(body), body))
    received = bench.stream(resumable=False)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'data: a' not in received


def test_an_error_without_end_is_cut() -> None:
    """It was passed on for as long as its caller read."""
    bench = StreamBench()
    head = b'HTTP/1.1 500 X\r\nConnection: close\r\n\r\n'
    bench.add('a', 'z', head + bytes(3 * MAX_BODY_BYTES))
    received = bench.stream(resumable=False)
    assert MAX_BODY_BYTES < len(received) < 2.1 * MAX_BODY_BYTES
    assert not received.endswith(END)
