"""A forwarder with fake upstreams that answer as planned."""

from gevent.queue import Queue

from guavagate.clock import PausedClock
from guavagate.forwarding import (
    Attempt,
    AttemptState,
    Forwarder,
    Outcome,
    RequestGuard,
)
from guavagate.http1 import Request
from guavagate.models import ServiceId, ZoneId
from guavagate.ports.configuration import RouteKind
from guavagate.ports.dialect import Call
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from tests.quarantine.common import make_quarantine
from tests.routing.test_routes import make_route, make_upstream


class FakeAttemptRunner:
    """Fake runner: each upstream answers as planned after a delay."""

    def __init__(self, clock: PausedClock) -> None:
        self.clock = clock
        self.plans: dict[str, tuple[float, AttemptState, int]] = {}
        self.made: list[str] = []
        self.cancelled: list[str] = []

    def make(self, call: Call, upstream: Upstream, *, reuse: bool) -> Attempt:
        """Answer as planned."""
        self.made.append(upstream.id)
        seconds, state, status = self.plans[upstream.id]
        try:
            self.clock.sleep(seconds)
        except BaseException:
            self.cancelled.append(upstream.id)
            raise
        return Attempt(upstream, state, status, [], upstream.id.encode())


class Bench:
    """A forwarder with a few upstreams."""

    def __init__(self, **plans: tuple[float, AttemptState, int]) -> None:
        self.clock = PausedClock()
        self.upstreams = UpstreamTable(self.clock, ZoneId('z'))
        self.attempts = FakeAttemptRunner(self.clock)
        self.attempts.plans = plans
        for name in plans:
            zone = 'z' if name == 'a' else 'y'
            self.upstreams.put(make_upstream(name, zone))
        self.body = b''
        self.quarantine = make_quarantine(
            self.clock, self.upstreams, lambda address: True
        )
        self.quarantine.subscribe_ends(self.upstreams.record_end)
        self.forwarder = Forwarder(
            self.clock,
            self.upstreams,
            self.attempts,  # type: ignore[arg-type]
            RequestGuard(self.quarantine, self.upstreams),
        )
        self.results: Queue = Queue()

    def forward(
        self, kind: RouteKind = RouteKind.IDEMPOTENT, limit: float = 1.5
    ) -> tuple[Outcome, float]:
        """Forward one request; return its outcome and how long it took."""
        started_at = self.clock.now()
        call = make_call(started_at + limit, self.body)
        task = self.clock.spawn(
            self.forwarder.forward,
            call,
            make_route('/', kind=kind),
            ServiceId('s'),
            self.results,
        )
        ended_at: list[float] = []
        task.link(lambda _: ended_at.append(self.clock.now()))
        self.clock.run_until(task.ready, 10)
        self.clock.settle()
        return task.get(block=False), ended_at[0] - started_at


def make_call(until: float, body: bytes = b'') -> Call:
    """Return the request that the bench forwards."""
    return Call(id='1', request=Request('GET', '/', []), body=body, until=until)


GOOD = (0.05, AttemptState.ANSWERED, 200)
SLOW = (1.0, AttemptState.ANSWERED, 200)
FAILED = (0.01, AttemptState.ANSWERED, 500)
LOST = (0.01, AttemptState.BROKEN, 0)
FULL = (0.01, AttemptState.NOT_RUN, 503)
UNRESPONSIVE = (60.0, AttemptState.BROKEN, 0)
