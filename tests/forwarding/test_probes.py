"""Probes of health paths over real sockets."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from guavagate.clock import Clock, SystemClock
from guavagate.forwarding import Prober, ProbeState
from guavagate.http1 import ConnectionPool, Request
from guavagate.metrics import Metrics
from guavagate.platform._dialect import PlatformDialect
from guavagate.ports.configuration import Configuration, Service
from guavagate.ports.load import LoadReport
from guavagate.routing import RouteTable
from tests.forwarding.common import start_upstream

_GOOD = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
    b'Guavagate-Server-Load: 1,0,6,250\r\n\r\n'
)


class _JumpingClock(SystemClock):
    """A clock on which ten times as much time passes as is waited."""

    def now(self) -> float:
        """Return the time."""
        return super().now() * 10


class _Bench:
    """An upstream that answers raw bytes, or nothing."""

    def __init__(
        self, health_path: str = '/health', clock: Clock | None = None
    ) -> None:
        clock = clock or SystemClock()
        self.answer = _GOOD
        self.requests: list[bytes] = []
        self.pool = ConnectionPool(clock)
        routes = RouteTable()
        self.server, self.upstream = start_upstream('a', 'z', self._serve)
        service = Service(id=self.upstream.service, health_path=health_path)
        routes.apply(Configuration(version=1, services=(service,)))
        self.prober = Prober(
            clock, self.pool, routes, PlatformDialect(), Metrics()
        )

    def _serve(self, sock: socket.socket, _: object) -> None:
        while data := sock.recv(65_536):
            self.requests.append(data)
            if self.answer:
                sock.sendall(self.answer)
            else:
                gevent.sleep(2)

    def probe(self, *, connect: bool = True) -> ProbeState:
        """Return what a probe of 50 ms finds."""
        with gevent.Timeout(1):
            return self.prober.probe(self.upstream, 0.05, connect).state


@pytest.fixture
def bench() -> Iterator[_Bench]:
    """Return a bench whose upstream stops after the test."""
    running = _Bench()
    yield running
    running.server.stop(0)


def test_a_probe_names_its_target_and_reads_the_load(bench: _Bench) -> None:
    """It goes to the health path, and its connection serves requests after."""
    result = bench.prober.probe(bench.upstream, 0.5, True)
    assert result.state is ProbeState.ANSWERED
    assert result.load == LoadReport(
        running=1, waiting=0, slots=6, slowdown=2.5
    )
    assert bench.requests[0].split(b'\r\n')[:3] == [
        b'GET /health HTTP/1.1',
        b'Host: %b' % bench.upstream.address.encode(),
        b'Guavagate-Target-Instance: a',
    ]
    assert bench.pool.has_idle_connection(bench.upstream.address)


def test_a_probe_that_hangs_ends_in_time(bench: _Bench) -> None:
    """The process is suspended: its kernel accepts, and nobody answers.

    The connection is not used again, as the answer would come later.
    """
    bench.answer = b''
    assert bench.probe() is ProbeState.SILENT
    assert not bench.pool.has_idle_connection(bench.upstream.address)


def test_a_probe_without_an_idle_connection_is_not_sent(
    bench: _Bench,
) -> None:
    """A new connection costs as much as thirty probes."""
    assert bench.probe(connect=False) is ProbeState.UNKNOWN
    assert not bench.requests
    bench.pool.send(
        bench.upstream.address,
        Request('GET', '/', [(b'Host', b'x')]),
        timeout=1,
    ).read()
    assert bench.probe(connect=False) is ProbeState.ANSWERED
    assert bench.pool.opened == 1


@pytest.mark.parametrize(
    ('answer', 'state'),
    [
        (b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n', ProbeState.ANSWERED),
        (b'HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n', ProbeState.ANSWERED),
        (b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n', ProbeState.REFUSED),
        (b'nonsense\r\n\r\n', ProbeState.UNKNOWN),
        (b'HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n', ProbeState.SILENT),
    ],
)
def test_what_an_answer_says_about_the_upstream(
    bench: _Bench, answer: bytes, state: ProbeState
) -> None:
    """Any complete answer shows that the process responds, but for a 421.

    With that one another process answers at the upstream's former address.
    """
    bench.answer = answer
    assert bench.probe() is state


def test_a_refused_connection_is_known_at_once(bench: _Bench) -> None:
    """The process has ended."""
    bench.server.stop(0)
    assert bench.probe() is ProbeState.REFUSED


def test_without_a_health_path_there_are_no_probes() -> None:
    """The operator has configured none."""
    bench = _Bench(health_path='')
    assert bench.probe() is ProbeState.UNKNOWN
    assert not bench.requests
    bench.server.stop(0)


def test_a_probe_during_our_own_suspension_tells_nothing() -> None:
    """The own process is stopped for longer than the probe's time.

    The answer lies in the socket when it goes on, but the time-out is due too.
    """
    bench = _Bench(clock=_JumpingClock())
    bench.answer = b''
    assert bench.probe() is ProbeState.UNKNOWN
    bench.server.stop(0)
