"""Entries and the holder of a start budget, in a model without network."""

import msgspec

from guavagate.exceptions import UpstreamNotStartedError
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ServiceId, UpstreamId, ZoneId
from guavagate.ports.configuration import (
    Configuration,
    RouteKind,
    Service,
    Warmup,
)
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.warmup import StartBudgets, limit_starts
from tests.routing.test_routes import make_route, make_upstream
from tests.warmup.common import BOUND, WARMUP

SERVICE = ServiceId('s')


class FixedTurns:
    """Turns that a test sets for each instance."""

    def __init__(self, me: InstanceId, order: list[InstanceId]) -> None:
        self.me = me
        self.ready = True
        self.order = order

    def list_in_turn(self, service: ServiceId) -> list[InstanceId]:
        """Return the holder, then its successors in the order of takeover."""
        return self.order


class Entry:
    """One instance; it sends requests, and may hold the budget."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        world, me = fleet.world, InstanceId(name)
        self.fleet = fleet
        self.host = world.add(name)
        self.clock = self.host.clock
        self.turns = FixedTurns(me, fleet.order)
        self.table = UpstreamTable(self.clock, ZoneId('z'), world.random)
        self.routes = RouteTable()
        kind = RouteKind.JOB if fleet.with_jobs else RouteKind.IDEMPOTENT
        self.routes.apply(
            Configuration(
                version=1,
                routes=(make_route('/', kind=kind),),
                services=(Service(id=SERVICE, warmup=fleet.warmup),),
            )
        )
        self.metrics = Metrics()
        self.budgets: StartBudgets = limit_starts(
            self.clock,
            world.bus(name),
            world.members[me],
            self.turns,
            self.routes,
            self.table,
            self.metrics,
            BOUND,
        )
        self.starts = self.budgets.get(SERVICE)

    def choose(
        self, *, hedge: bool = False, tried: str = ''
    ) -> UpstreamId | None:
        """Choose an upstream for a request, and send it there."""
        task = self.clock.spawn(self._send, hedge, tried)
        self.fleet.clock.run_until(task.ready, 1)
        chosen: UpstreamId | None = task.get(block=False)
        return chosen

    def send(self) -> None:
        """Send a request in a task of its own."""
        self.clock.spawn(self._send, False, '')

    def _send(self, hedge: bool, tried: str) -> UpstreamId | None:
        names = {UpstreamId(each) for each in tried}
        chosen = self.table.choose(SERVICE, names, hedge=hedge)
        if chosen is None:
            return None
        self.host.wait_until_running()
        try:
            self.table.check(chosen, starts=True)
        except UpstreamNotStartedError:
            return None
        self.fleet.record(chosen.id)
        return chosen.id


class Fleet:
    """A holder, named h, a successor, named i, and entries."""

    def __init__(
        self,
        entries: int = 2,
        upstreams: str = 'xy',
        warmup: Warmup | None = WARMUP,
        *,
        with_jobs: bool = False,
    ) -> None:
        self.world = World(seed=3)
        self.clock = self.world.clock
        self.warmup = warmup
        self.with_jobs = with_jobs
        self.order = [InstanceId('h'), InstanceId('i')]
        self.starts: dict[str, list[float]] = {each: [] for each in upstreams}
        self.holder = Entry(self, 'h')
        self.successor = Entry(self, 'i')
        self.entries = [Entry(self, f'e{each}') for each in range(entries)]
        self.clock.advance(2)

    @property
    def all(self) -> list[Entry]:
        """Return all instances."""
        return [self.holder, self.successor, *self.entries]

    def record(self, upstream: UpstreamId) -> None:
        """Record that a request arrived at an upstream."""
        self.starts[upstream].append(self.clock.now())

    def register(self, name: str, cold_for: float, **fields: object) -> None:
        """Register an upstream at all instances."""
        upstream = msgspec.structs.replace(
            make_upstream(name), slots=8, cold_for=cold_for, **fields
        )
        for each in self.all:
            each.table.put(upstream)

    def cut(self, entry: Entry) -> None:
        """Drop all messages between an instance and the others."""
        me = entry.turns.me
        for other in self.world.hosts:
            self.world.network.blocked |= {(me, other), (other, me)}
