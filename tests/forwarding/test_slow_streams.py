"""Streams whose callers read slowly or not at all."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from guavagate.clock import SystemClock
from guavagate.forwarding import OutcomeKind
from guavagate.http1 import ServerLimits
from guavagate.http1._caller_writer import (
    STREAM_BUFFER_BYTES,
    CallerWriter,
    SlowCallerError,
)
from guavagate.models import UpstreamId
from guavagate.ports.configuration import RouteKind
from tests.forwarding.stream_bench import (
    END,
    HEAD,
    StreamBench,
    make_chunk,
    make_event,
)
from tests.routing.test_routes import make_route

# More than the kernel buffers between an upstream and a caller.
_EVENTS = 1200
_LARGE_STREAM = (
    HEAD
    + b''.join(
        make_chunk(make_event(number + 1, 10_000)) for number in range(_EVENTS)
    )
    + END
)


class _SuspendedClock(SystemClock):
    """A clock whose time jumps ahead, as after a suspension."""

    suspended: float = 0

    def now(self) -> float:
        """Return the monotonic time."""
        return super().now() + self.suspended


@pytest.fixture
def bench() -> Iterator[StreamBench]:
    """Return a bench without upstreams."""
    running = StreamBench()
    yield running
    for server in running.servers:
        server.stop()


def _connect(bench: StreamBench, idle: float) -> socket.socket:
    route = make_route(
        '/', kind=RouteKind.STREAM, resumable=True, max_attempts=3
    )
    server = bench.serve(route, ServerLimits(idle_timeout=idle))
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    sock.connect(('127.0.0.1', server._server.server_port))
    sock.sendall(b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n')
    return sock


def test_a_slow_caller_gets_every_event_once_and_in_order(
    bench: StreamBench,
) -> None:
    """It pauses while the buffer is full, and reads the rest afterwards."""
    bench.add('a', 'z', _LARGE_STREAM)
    sock = _connect(bench, 2)
    gevent.sleep(0.3)
    assert not bench.taken
    received = bytearray()
    with gevent.Timeout(3, TimeoutError):
        while not received.endswith(END):
            received += sock.recv(1_000_000)
    lines = bytes(received).split(b'\n')
    ids = [int(line[4:]) for line in lines if line.startswith(b'id: ')]
    assert ids == list(range(1, _EVENTS + 1))
    assert received.count(b'-' * 10_000) == _EVENTS
    assert bench.taken == ['a']


def test_a_caller_that_takes_nothing_ends_its_run_and_no_other_begins(
    bench: StreamBench,
) -> None:
    """The upstream is not at fault: it stays in use, and no other resumes."""
    bench.add('a', 'z', _LARGE_STREAM)
    bench.add('b', 'y', _LARGE_STREAM)
    sock = _connect(bench, 0.4)
    sock.recv(1000)
    gevent.sleep(1)
    assert bench.disconnected == ['a']
    assert list(bench.requests) == ['a']
    assert [each.kind for each in bench.outcomes] == [OutcomeKind.CALLER_LEFT]
    assert bench.upstreams.load(UpstreamId('a')).failures == 0


def test_a_suspension_of_the_instance_cuts_off_nobody() -> None:
    """The caller had no chance to take anything meanwhile."""
    clock = _SuspendedClock()
    caller, entry = socket.socketpair()
    writer = CallerWriter(entry, clock, 0.4, caller.close)
    writing = gevent.spawn(writer.write, bytes(2_000_000))
    gevent.sleep(0.15)
    clock.suspended = 20
    gevent.sleep(0.15)
    with gevent.Timeout(1, TimeoutError):
        while not writing.ready():
            caller.recv(100_000)
    assert writing.successful()


def test_the_upstream_is_read_until_the_buffer_is_full() -> None:
    """An upstream cuts off an answer that stays unread for some seconds."""
    caller, entry = socket.socketpair()
    failures: list[str] = []
    writer = CallerWriter(
        entry, SystemClock(), 0.3, lambda: failures.append('failed')
    )
    event = bytes(1000)
    written = 0

    def write() -> None:
        nonlocal written
        while True:
            writer.write(event, STREAM_BUFFER_BYTES)
            written += len(event)

    task = gevent.spawn(write)
    gevent.sleep(0.15)
    assert written >= STREAM_BUFFER_BYTES
    assert writer.size <= STREAM_BUFFER_BYTES + len(event)
    with pytest.raises(SlowCallerError):
        task.get(timeout=1)
    assert failures == ['failed']
    assert writer.size == 0
    caller.close()
