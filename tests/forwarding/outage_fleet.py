"""Instances with forwarders before upstreams that may hang or refuse."""

from collections import Counter
from typing import Final, TypeAlias

from gevent.queue import Queue

from guavagate.forwarding import (
    Attempt,
    AttemptState,
    Forwarder,
    OutageDetector,
    Outcome,
    OutcomeKind,
    ProbeResult,
    ProbeState,
    RequestGuard,
    ServiceNotices,
)
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, ServiceId, ZoneId
from guavagate.ports.configuration import RouteKind
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from tests.forwarding.bench import make_call
from tests.quarantine.common import make_quarantine
from tests.routing.test_routes import make_route, make_upstream

SERVICE: Final = ServiceId('s')
UPSTREAMS: Final = ('u0', 'u1', 'u2')
OBJECTIVE: Final = 0.2
# Outcome and duration of a request, once it has ended.
Ends: TypeAlias = list[tuple[Outcome, float]]


class _Instance:
    """A forwarder, its connections, and upstreams as it reaches them."""

    def __init__(
        self, fleet: 'OutageFleet', name: str, *, probes: bool
    ) -> None:
        self._fleet = fleet
        self.clock = fleet.world.add(name).clock
        members = fleet.world.members[InstanceId(name)]
        self.idle: set[str] = set()
        self.cut_off = False
        self.sent: Counter[str] = Counter()
        self.table = UpstreamTable(
            self.clock, ZoneId('z'), fleet.world.random, self.idle.__contains__
        )
        for each in UPSTREAMS:
            self.table.put(make_upstream(each, address=each))
        notices = ServiceNotices(
            self.clock,
            fleet.world.bus(name),
            InstanceId(name),
            lambda: [each.id for each in members.alive()],
        )
        detector = OutageDetector(self.clock, self.table, self._probe, notices)
        self.forwarder = Forwarder(
            self.clock,
            self.table,
            self,  # type: ignore[arg-type]
            RequestGuard(make_quarantine(self.clock, self.table), self.table),
            detector if probes else None,
        )

    def _does(self, upstream: Upstream, *behaviors: str) -> bool:
        behavior = 'hangs' if self.cut_off else self._fleet.does[upstream.id]
        return behavior in behaviors

    def _connect(self, upstream: Upstream) -> bool:
        """Take an idle connection or a new one; return whether that worked."""
        self._fleet.connections += upstream.id not in self.idle
        self.idle.discard(upstream.id)
        return not self._does(upstream, 'refuses')

    def _probe(
        self, upstream: Upstream, seconds: float, connect: bool
    ) -> ProbeResult:
        if not connect and upstream.id not in self.idle:
            return ProbeResult(ProbeState.UNKNOWN)
        self._fleet.probes += 1
        if not self._connect(upstream):
            return ProbeResult(ProbeState.REFUSED)
        until = self.clock.now() + seconds
        while self._does(upstream, 'hangs', 'answers requests only'):
            if self.clock.now() >= until:
                return ProbeResult(ProbeState.TIMED_OUT)
            self.clock.sleep(min(0.01, until - self.clock.now()))
        self.clock.sleep(0.001)
        self.idle.add(upstream.id)
        return ProbeResult(ProbeState.ANSWERED)

    def make(self, call: object, upstream: Upstream, *, reuse: bool) -> Attempt:
        """Run a request at an upstream, as an `AttemptRunner` does."""
        load = self.table.load(upstream.id)
        load.in_flight += 1
        self.sent[upstream.id] += 1
        began_at = self.clock.now()
        try:
            return self._run(upstream, began_at)
        finally:
            load.in_flight -= 1

    def _run(self, upstream: Upstream, began_at: float) -> Attempt:
        if not self._connect(upstream):
            self.table.record_failed_probe(upstream.id, began_at, refused=True)
            return Attempt(upstream, AttemptState.NOT_RUN)
        while self._does(upstream, 'hangs', 'answers probes only'):
            self.clock.sleep(0.01)
        self.clock.sleep(self._fleet.work_seconds)
        self.idle.add(upstream.id)
        self.table.record_report(upstream.id, LoadReport())
        self.table.record_success(upstream.id, self.clock.now() - began_at)
        return Attempt(upstream, AttemptState.ANSWERED, 200)


class OutageFleet:
    """Instances and three upstreams, which hang after the first answer."""

    def __init__(self, names: str = 'a', *, probes: bool = True) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.work_seconds = 0.031
        self.probes = 0
        self.connections = 0
        self.does = dict.fromkeys(UPSTREAMS, 'well')
        self.instances = {
            name: _Instance(self, name, probes=probes) for name in names
        }
        self.first = self.instances[names[0]]
        self.clock.advance(1)
        self.send(names[0])
        self.set('hangs')

    def set(self, behavior: str, *names: str) -> None:
        """Change what some upstreams do, by default all."""
        self.does.update(dict.fromkeys(names or UPSTREAMS, behavior))

    def start(
        self,
        name: str = 'a',
        kind: RouteKind = RouteKind.IDEMPOTENT,
        limit: float = 1.5,
    ) -> Ends:
        """Start a request; its end is put into the list."""
        ends: Ends = []
        route = make_route('/', kind=kind, objective=OBJECTIVE, max_attempts=3)

        def run() -> None:
            began_at = self.clock.now()
            outcome = self.instances[name].forwarder.forward(
                make_call(began_at + limit), route, SERVICE, Queue()
            )
            ends.append((outcome, self.clock.now() - began_at))

        self.instances[name].clock.spawn(run)
        return ends

    def send(
        self, name: str = 'a', kind: RouteKind = RouteKind.IDEMPOTENT
    ) -> tuple[Outcome, float]:
        """Send a request and wait for its end."""
        ends = self.start(name, kind)
        self.clock.run_until(lambda: bool(ends), 10)
        return ends[0]

    def is_answered(
        self, name: str = 'a', kind: RouteKind = RouteKind.IDEMPOTENT
    ) -> bool:
        """Return whether a request is answered."""
        return self.send(name, kind)[0].kind is OutcomeKind.ANSWER
