"""An outage with real connections: found, refused and over."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.queue import Queue

from guavagate.clock import SystemClock
from guavagate.forwarding import (
    Outcome,
    OutcomeKind,
    ServiceNotices,
    make_forwarders,
    make_outage_detector,
)
from guavagate.http1 import ConnectionPool, Request
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ServiceId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.ports.configuration import Configuration, Service
from guavagate.ports.dialect import Call
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import NoBus, make_quarantine
from tests.routing.test_routes import make_route

_SERVICE = ServiceId('s')
_ME = InstanceId('me')
_ROUTE = make_route('/', objective=0.1, max_attempts=3)
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class _Bench:
    """Two upstreams that can be stopped, and an instance."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.hanging = False
        self.targets: list[bytes] = []
        pool = ConnectionPool(self.clock)
        routes = RouteTable()
        service = Service(id=_SERVICE, health_path='/health')
        routes.apply(Configuration(version=1, services=(service,)))
        table = UpstreamTable(self.clock, ZoneId('z'))
        self.servers = []
        for name in 'ab':
            server, upstream = start_upstream(name, 'z', self._serve)
            self.servers.append(server)
            table.put(upstream)
        notices = ServiceNotices(self.clock, NoBus(), _ME, lambda: [_ME])
        dialect = PlatformDialect()
        detector = make_outage_detector(
            self.clock, pool, routes, table, dialect, Metrics(), notices
        )
        self.forwarder = make_forwarders(
            self.clock,
            pool,
            routes,
            table,
            dialect,
            make_quarantine(self.clock, table),
            detector,
        ).unary

    def _serve(self, sock: socket.socket, _: object) -> None:
        while data := sock.recv(65_536):
            self.targets.append(data.split(b' ')[1])
            while self.hanging:
                gevent.sleep(0.01)
            sock.sendall(_ANSWER)

    def send(self) -> tuple[Outcome, float]:
        """Send a request; return its outcome and how long it took."""
        began_at = self.clock.now()
        call = Call(
            id='1',
            request=Request('GET', '/work', [(b'Host', b'x')]),
            body=b'',
            until=began_at + 2,
        )
        with gevent.Timeout(5):
            outcome = self.forwarder.forward(call, _ROUTE, _SERVICE, Queue())
        return outcome, self.clock.now() - began_at


@pytest.fixture
def bench() -> Iterator[_Bench]:
    """Return a bench whose servers stop after the test."""
    running = _Bench()
    yield running
    for server in running.servers:
        server.stop(0)


def test_a_suspended_service_is_refused_until_it_goes_on(
    bench: _Bench,
) -> None:
    """Kernels accept connections, and nobody answers, as after a SIGSTOP.

    The first request is given up after its probes instead of 2 s, the second
    is not sent, and the pending probe's answer has the third one sent.
    """
    assert bench.send()[0].kind is OutcomeKind.ANSWER
    bench.hanging = True
    outcome, seconds = bench.send()
    assert outcome.kind is OutcomeKind.LATE
    assert seconds < 1
    sent = bench.targets.count(b'/work')
    outcome, seconds = bench.send()
    assert (outcome.kind, outcome.began_at) == (OutcomeKind.NOT_RUN, None)
    assert seconds < 0.1
    assert bench.targets.count(b'/work') == sent
    bench.hanging = False
    gevent.sleep(0.5)
    assert bench.send()[0].kind is OutcomeKind.ANSWER
