"""An outage with real connections: found, refused and over."""

import gevent
from gevent import socket
from gevent.queue import Queue

from guavagate.clock import SystemClock
from guavagate.forwarding import Outcome, OutcomeKind
from guavagate.http1 import ConnectionPool, Request
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ServiceId, ZoneId
from guavagate.platform._forwarding import make_platform_forwarders
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
    """Two upstreams that can be suspended, and an instance."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.suspended = False
        self.targets: list[bytes] = []
        routes = RouteTable()
        service = Service(id=_SERVICE, health_path='/health')
        routes.apply(Configuration(version=1, services=(service,)))
        table = UpstreamTable(clock, ZoneId('z'))
        for name in 'ab':
            table.put(start_upstream(name, 'z', self._serve)[1])
        self._forwarder = make_platform_forwarders(
            clock,
            ConnectionPool(clock),
            routes,
            table,
            make_quarantine(clock, table),
            Metrics(),
            NoBus(),
            _ME,
            lambda: [_ME],
        ).unary

    def _serve(self, sock: socket.socket, _: object) -> None:
        while data := sock.recv(65_536):
            self.targets.append(data.split(b' ')[1])
            while self.suspended:
                gevent.sleep(0.01)
            sock.sendall(_ANSWER)

    def send(self, seconds: float) -> Outcome:
        """Send a request of two seconds that must end sooner."""
        call = Call(
            id='1',
            request=Request('GET', '/work', [(b'Host', b'x')]),
            body=b'',
            until=SystemClock().now() + 2,
        )
        with gevent.Timeout(seconds):
            return self._forwarder.forward(call, _ROUTE, _SERVICE, Queue())


def test_a_suspended_service_is_refused_until_it_goes_on() -> None:
    """Kernels accept connections, and nobody answers, as after a SIGSTOP.

    The first request is given up after its probes instead of 2 s, the second
    is not sent, and the pending probe's answer has the third one sent.
    """
    bench = _Bench()
    assert bench.send(1).kind is OutcomeKind.ANSWER
    bench.suspended = True
    assert bench.send(1).kind is OutcomeKind.LATE
    sent = bench.targets.count(b'/work')
    outcome = bench.send(0.1)
    assert (outcome.kind, outcome.began_at) == (OutcomeKind.NOT_RUN, None)
    assert bench.targets.count(b'/work') == sent
    bench.suspended = False
    gevent.sleep(0.5)
    assert bench.send(1).kind is OutcomeKind.ANSWER
