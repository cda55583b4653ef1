"""One upstream that sends scripted bytes, and every kind of exchange."""

import re
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from guavagate.clock import SystemClock
from guavagate.forwarding import AttemptRunner, AttemptState
from guavagate.forwarding._probes import Prober, ProbeState
from guavagate.http1 import ConnectionPool, Request
from guavagate.metrics import Metrics
from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._samplers import PlatformSamplers
from guavagate.ports.configuration import Configuration, Service
from guavagate.ports.dialect import Call
from guavagate.ports.sampler import ItemRequest, VersionOrder
from guavagate.ports.upstreams import Upstream
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import make_quarantine

_LIMIT_SECONDS = 10
_ORDER = VersionOrder(
    model='m',
    version=WeightVersion(2),
    keep_running=True,
    holder='h',
    generation=1,
    orders_taken=0,
)


def _read_request(sock: socket.socket) -> bytes:
    """Read one whole request; return its head, or nothing without one."""
    data = b''
    while b'\r\n\r\n' not in data:
        received = sock.recv(65_536)
        if not received:
            return b''
        data += received
    head, _, body = data.partition(b'\r\n\r\n')
    length = re.search(rb'(?i)content-length: *(\d+)', head)
    missing = int(length.group(1)) - len(body) if length else 0
    while missing > 0:
        missing -= len(sock.recv(missing))
    return head


class AnswerBench:
    """Each request gets the next bytes of `script`, in parts if iterable."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.script: list[bytes | Iterator[bytes]] = []
        # Of the requests that arrived.
        self.heads: list[bytes] = []
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

    def order(self) -> bool:
        """Order a version; return whether the upstream already had it."""
        return self.samplers.order(self.upstream, _ORDER)

    def run_item(
        self, name: str, headers: dict[str, str] | None = None
    ) -> list[str]:
        """Run an item; return the texts of its events."""
        item = ItemRequest(
            id=name,
            host='h',
            path='/i',
            headers=headers or {},
            body=b'',
            resume_after=0,
        )
        run = self.samplers.run(self.upstream, item, 'm')
        return [event.text for event in run.events()]

    def close(self) -> None:
        """Stop the upstream."""
        self.server.stop(0)

    def _charge(self, growth: int) -> None:
        self._held += growth
        self.peak = max(self.peak, self._held)

    def _serve(self, sock: socket.socket, _: object) -> None:
        try:
            while head := _read_request(sock):
                self.heads.append(head)
                part = self.script.pop(0) if self.script else b''
                parts = (part,) if isinstance(part, bytes) else part
                for each in parts:
                    sock.sendall(each)
        except OSError:
            return


@pytest.fixture(name='bench')
def make_bench() -> Iterator[AnswerBench]:
    """Return a bench whose server stops after the test."""
    running = AnswerBench()
    with gevent.Timeout(_LIMIT_SECONDS):
        yield running
    running.close()
