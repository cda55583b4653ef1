"""Probes of health paths, and an outage, over real sockets."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.queue import Queue

from guavagate.clock import Clock, SystemClock
from guavagate.forwarding import (
    Fleet,
    OutcomeKind,
    Prober,
    ProbeState,
    make_fleet_forwarders,
)
from guavagate.http1 import ConnectionPool, Request
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.ports.configuration import Configuration, Service
from guavagate.ports.dialect import Call
from guavagate.ports.load import LoadReport
from guavagate.residency import Unbound
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import NoBus, make_quarantine
from tests.routing.test_routes import make_route

_GOOD = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nGuavagate-Instance-Id: a\r\n'
    b'Guavagate-Server-Load: 1,0,6,250\r\n\r\n'
)


# The answer to the request '1'.
_SERVED = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nGuavagate-Request-Id: 1\r\n'
    b'Guavagate-Server-Seal: s\r\n\r\n'
)


class _JumpingClock(SystemClock):
    """A clock on which ten times as much time passes as is waited."""

    def now(self) -> float:
        """Return the time."""
        return super().now() * 10


class _Bench:
    """An upstream that answers raw bytes, or nothing."""

    def __init__(self) -> None:
        self.answer = _GOOD
        self.requests: list[bytes] = []
        self.load = LoadReport()
        self.pool = ConnectionPool(SystemClock())
        self.table = UpstreamTable(SystemClock(), ZoneId('z'))
        self.server, self.upstream = start_upstream('a', 'z', self._serve)

    def _serve(self, sock: socket.socket, _: object) -> None:
        while data := sock.recv(65_536):
            self.requests.append(data)
            while not self.answer:
                gevent.sleep(0.01)
            good = self.answer == _GOOD
            served = good and b' /work ' in data
            sock.sendall(_SERVED if served else self.answer)

    def configure(self, path: str = '/health') -> RouteTable:
        """Return the routes of an instance."""
        routes = RouteTable()
        service = Service(id=self.upstream.service, health_path=path)
        routes.apply(Configuration(version=1, services=(service,)))
        return routes

    def probe(
        self,
        *,
        connect: bool = True,
        path: str = '/health',
        clock: Clock | None = None,
    ) -> ProbeState:
        """Return what a probe of 50 ms finds."""
        prober = Prober(
            clock or SystemClock(),
            self.pool,
            self.configure(path),
            PlatformDialect(),
            Metrics(),
            self.table,
        )
        with gevent.Timeout(1):
            result = prober.probe(self.upstream, 0.05, connect)
        self.load = result.load
        return result.state


@pytest.fixture
def bench() -> Iterator[_Bench]:
    """Return a bench whose upstream stops after the test."""
    running = _Bench()
    yield running
    running.server.stop(0)


def test_a_probe_names_its_target_and_leaves_its_connection(
    bench: _Bench,
) -> None:
    """Without an idle connection it is not sent unless it may open one.

    A new connection costs as much as thirty probes.
    """
    assert bench.probe(connect=False) is ProbeState.UNKNOWN
    assert bench.probe(path='') is ProbeState.UNKNOWN
    assert not bench.requests
    assert bench.probe() is ProbeState.ANSWERED
    assert bench.load == LoadReport(running=1, waiting=0, slots=6, slowdown=2.5)
    assert bench.requests[0].split(b'\r\n')[:3] == [
        b'GET /health HTTP/1.1',
        b'Host: %b' % bench.upstream.address.encode(),
        b'Guavagate-Target-Instance: a',
    ]
    assert bench.probe(connect=False) is ProbeState.ANSWERED
    assert bench.pool.opened == 1


def test_a_probe_that_hangs_ends_in_time(bench: _Bench) -> None:
    """The kernel of a suspended process accepts, and nobody answers.

    The connection is not used again, as the answer would come later. If this
    process was itself suspended meanwhile, the answer may lie in its socket.
    """
    bench.answer = b''
    assert bench.probe() is ProbeState.TIMED_OUT
    assert not bench.pool.has_idle_connection(bench.upstream.address)
    assert bench.probe(clock=_JumpingClock()) is ProbeState.UNKNOWN


@pytest.mark.parametrize(
    ('answer', 'state'),
    [
        (b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n', ProbeState.ANSWERED),
        (b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n', ProbeState.REFUSED),
        (b'nonsense\r\n\r\n', ProbeState.UNKNOWN),
        (_GOOD.replace(b'Length: 0', b'Length: 9'), ProbeState.TIMED_OUT),
    ],
)
def test_what_an_answer_says_about_the_upstream(
    bench: _Bench, answer: bytes, state: ProbeState
) -> None:
    """Any complete answer shows that the process responds, but for a 421.

    With that one another process answers at the upstream's former address. An
    address without a process refuses at once.
    """
    bench.answer = answer
    assert bench.probe() is state
    bench.server.stop(0)
    bench.pool.close_idle(bench.upstream.address)
    assert bench.probe() is ProbeState.REFUSED


def test_a_suspended_service_is_refused_until_it_goes_on(
    bench: _Bench,
) -> None:
    """Its kernel accepts connections, and nobody answers, as after a SIGSTOP.

    The first request is given up after its probes instead of 2 s, the second
    is not sent, and the pending probe's answer has the third one sent. When the
    process has ended, the refused connection is known at once.
    """
    clock = SystemClock()
    table = UpstreamTable(clock, ZoneId('z'))
    table.put(bench.upstream)
    me = InstanceId('me')
    forwarder = make_fleet_forwarders(
        clock,
        bench.pool,
        bench.configure(),
        table,
        PlatformDialect(),
        make_quarantine(clock, table),
        Metrics(),
        Fleet(NoBus(), me, lambda: [me]),  # type: ignore[arg-type]
        Unbound(),
    ).unary

    def send(seconds: float) -> OutcomeKind:
        request = Request('GET', '/work', [(b'Host', b'x')])
        call = Call(id='1', request=request, body=b'', until=clock.now() + 2)
        route = make_route('/', objective=0.1)
        with gevent.Timeout(seconds):
            return forwarder.forward(
                call, route, bench.upstream.service, Queue()
            ).kind

    assert send(1) is OutcomeKind.ANSWER
    bench.answer = b''
    assert send(1) is OutcomeKind.LATE
    sent = len(bench.requests)
    assert send(0.1) is OutcomeKind.NOT_RUN
    assert len(bench.requests) == sent
    bench.answer = _GOOD
    gevent.sleep(0.5)
    assert send(1) is OutcomeKind.ANSWER
    bench.server.stop(0)
    bench.pool.close_idle(bench.upstream.address)
    assert send(0.1) is OutcomeKind.NOT_RUN
    assert table.is_unavailable(bench.upstream.service)
