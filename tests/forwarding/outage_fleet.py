"""Instances with forwarders before upstreams that may hang or refuse."""

import enum
from collections import Counter
from typing import Final

import msgspec
from gevent.queue import Queue

from guavagate.forwarding import (
    Attempt,
    AttemptState,
    Forwarder,
    OutageDetector,
    Outcome,
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
_ROUTE: Final = make_route('/', objective=OBJECTIVE, max_attempts=3)
_STEP_SECONDS: Final = 0.01


class Behavior(enum.Enum):
    """What an upstream answers."""

    WELL = 'requests and probes'
    HANGS = 'nothing'
    REFUSES = 'no connections'
    PROBES_ONLY = 'probes'
    REQUESTS_ONLY = 'requests'


class End(msgspec.Struct):
    """How one request ended."""

    outcome: Outcome
    seconds: float


class _Instance:
    """An instance: its forwarder, its connections, and its fake upstreams."""

    def __init__(self, fleet: 'OutageFleet', name: str) -> None:
        self._fleet = fleet
        clock = fleet.world.add(name).clock
        self.clock = clock
        members = fleet.world.members[InstanceId(name)]
        self.idle: set[str] = set()
        self.cut_off = False
        self.sent: Counter[str] = Counter()
        self.table = UpstreamTable(
            clock, ZoneId('z'), fleet.world.random, self.idle.__contains__
        )
        for each in UPSTREAMS:
            self.table.put(make_upstream(each, address=each))
        notices = ServiceNotices(
            clock,
            fleet.world.bus(name),
            InstanceId(name),
            lambda: [each.id for each in members.alive()],
        )
        self.forwarder = Forwarder(
            clock,
            self.table,
            self,  # type: ignore[arg-type]
            RequestGuard(make_quarantine(clock, self.table), self.table),
            OutageDetector(clock, self.table, self.probe, notices)
            if fleet.with_probes
            else None,
        )

    def _find_behavior(self, upstream: Upstream) -> Behavior:
        return (
            Behavior.HANGS
            if self.cut_off
            else self._fleet.behaviors[upstream.id]
        )

    def _connect(self, upstream: Upstream) -> bool:
        """Take an idle connection or a new one; return whether that worked."""
        self._fleet.connections += upstream.id not in self.idle
        self.idle.discard(upstream.id)
        return self._find_behavior(upstream) is not Behavior.REFUSES

    def probe(
        self, upstream: Upstream, seconds: float, connect: bool
    ) -> ProbeResult:
        """Probe an upstream; one that hangs answers once it goes on."""
        if not connect and upstream.id not in self.idle:
            return ProbeResult(ProbeState.UNKNOWN)
        self._fleet.probes += 1
        if not self._connect(upstream):
            return ProbeResult(ProbeState.REFUSED)
        until = self.clock.now() + seconds
        while self._find_behavior(upstream) in {
            Behavior.HANGS,
            Behavior.REQUESTS_ONLY,
        }:
            if self.clock.now() >= until:
                return ProbeResult(ProbeState.TIMED_OUT)
            self.clock.sleep(min(_STEP_SECONDS, until - self.clock.now()))
        self.clock.sleep(0.001)
        self.idle.add(upstream.id)
        return ProbeResult(ProbeState.ANSWERED)

    def make(self, call: object, upstream: Upstream, *, reuse: bool) -> Attempt:
        """Run a request at an upstream; an `AttemptRunner`."""
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
        while self._find_behavior(upstream) in {
            Behavior.HANGS,
            Behavior.PROBES_ONLY,
        }:
            self.clock.sleep(_STEP_SECONDS)
        self.clock.sleep(self._fleet.work_seconds)
        self.idle.add(upstream.id)
        self.table.record_report(upstream.id, LoadReport())
        self.table.record_success(upstream.id, self.clock.now() - began_at)
        return Attempt(upstream, AttemptState.ANSWERED, 200)


class OutageFleet:
    """Some instances and three upstreams; counts what these receive."""

    def __init__(self, *names: str, with_probes: bool = True) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.with_probes = with_probes
        self.work_seconds = 0.031
        self.probes = 0
        self.connections = 0
        self.behaviors = dict.fromkeys(UPSTREAMS, Behavior.WELL)
        self.instances = {name: _Instance(self, name) for name in names}
        self.clock.advance(1)

    def set_behavior(self, behavior: Behavior, *names: str) -> None:
        """Change what some upstreams answer, by default all."""
        self.behaviors.update(dict.fromkeys(names or UPSTREAMS, behavior))

    def start(
        self,
        name: str = 'a',
        kind: RouteKind = RouteKind.IDEMPOTENT,
        limit: float = 1.5,
    ) -> list[End]:
        """Start a request; its end is put into the list."""
        instance = self.instances[name]
        ends: list[End] = []
        route = msgspec.structs.replace(_ROUTE, kind=kind)

        def run() -> None:
            began_at = self.clock.now()
            outcome = instance.forwarder.forward(
                make_call(began_at + limit), route, SERVICE, Queue()
            )
            ends.append(End(outcome, self.clock.now() - began_at))

        instance.clock.spawn(run)
        return ends

    def send(
        self, name: str = 'a', kind: RouteKind = RouteKind.IDEMPOTENT
    ) -> End:
        """Send a request and wait for its end."""
        ends = self.start(name, kind)
        self.clock.run_until(lambda: bool(ends), 10)
        return ends[0]


def make_hanging(*names: str) -> OutageFleet:
    """Return a fleet whose upstreams hang after an answer to the first one."""
    fleet = OutageFleet(*names or ('a',))
    fleet.send()
    fleet.set_behavior(Behavior.HANGS)
    return fleet
