"""Entries before a plain service whose upstreams refuse when they are full."""

import functools
import math
from collections import Counter
from collections.abc import Callable

from gevent.event import Event

from guavagate.admission import ServiceAdmission
from guavagate.forwarding import (
    Attempt,
    AttemptState,
    Forwarder,
    RequestGuard,
    StreamForwarder,
)
from guavagate.front import RequestHandler
from guavagate.http1 import Headers, Request
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ServiceId, TeamId, ZoneId
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    Team,
)
from guavagate.ports.dialect import Call
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing import RouteTable, UpstreamTable
from tests.quarantine.common import make_quarantine
from tests.routing.test_routes import make_route, make_upstream

SERVICE = ServiceId('s')
SLOTS = 4
WORK_SECONDS = 0.03
OBJECTIVE = 0.2


class Caller:
    """A caller without a connection, and what it received when."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self.arrived_at = now()
        self.started = False
        self.interrupted = False
        self.entry_ends_at = math.inf
        self.leave: object = None
        self.disconnected = Event()
        self.status = 0
        self.retry_after: float = 0
        self.seconds: float = 0

    def on_disconnect(self, call: object) -> None:
        """Set what to call when the caller leaves."""
        self.leave = call

    @property
    def must_end(self) -> bool:
        """Return whether the caller has left."""
        return self.interrupted or self.disconnected.is_set()

    def may_take(self, seconds: float) -> bool:
        """Return whether the entry lives for so many seconds more."""
        return self._now() + seconds <= self.entry_ends_at

    def interrupt(self) -> None:
        """End the time of a planned stop of the entry."""
        self.interrupted = True
        if callable(self.leave):
            self.leave()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Record the answer."""
        self.status = status
        self.retry_after = float(dict(headers).get(b'Retry-After', 0))

    def abort(self) -> None:
        """Do nothing: the caller has left."""


class _Runner:
    """Makes an entry's attempts at the upstreams, which all entries share."""

    def __init__(self, fleet: 'Fleet', table: UpstreamTable) -> None:
        self._fleet = fleet
        self._table = table

    def make(self, call: Call, upstream: Upstream, *, reuse: bool) -> Attempt:
        """Run a request, and record the load that the upstream reports."""
        busy = self._fleet.busy
        if busy[upstream.id] >= SLOTS:
            self._fleet.refused += 1
            self._table.record_report(upstream.id, LoadReport(running=SLOTS))
            return Attempt(upstream, AttemptState.NOT_RUN, 503)
        busy[upstream.id] += 1
        self._fleet.ran[call.id] += 1
        self._table.load(upstream.id).in_flight += 1
        try:
            # Upstreams go on while the instance that sent it is paused.
            self._fleet.clock.sleep(WORK_SECONDS)
        finally:
            busy[upstream.id] -= 1
            self._table.load(upstream.id).in_flight -= 1
        report = LoadReport(running=busy[upstream.id])
        self._table.record_report(upstream.id, report)
        return Attempt(upstream, AttemptState.ANSWERED, 200)


class Fleet:
    """Six entries of one service; teams may have priorities."""

    def __init__(
        self, upstreams: int = 2, priorities: dict[str, int] | None = None
    ) -> None:
        self.world = World(seed=1)
        self.clock = self.world.clock
        self.random = self.world.random
        self.names = [f'e-{number}' for number in range(6)]
        self.busy: Counter[str] = Counter()
        self.ran: Counter[str] = Counter()
        self.refused = 0
        self.handlers: dict[str, RequestHandler] = {}
        self.admissions: dict[str, ServiceAdmission] = {}
        self.tables: dict[str, UpstreamTable] = {}
        self.replies: dict[str, list[Caller]] = {}
        self.kind = RouteKind.IDEMPOTENT
        teams = tuple(
            Team(id=TeamId(name), priority=priority)
            for name, priority in (priorities or {}).items()
        )
        routes = RouteTable()
        routes.apply(
            Configuration(
                version=1, services=(Service(id=SERVICE),), teams=teams
            )
        )
        self._count = 0
        for name in self.names:
            self._start(name, routes, upstreams)
        self.clock.advance(1)

    @property
    def owner(self) -> str:
        """Return the queue owner as the entries see it."""
        return self.admissions[self.names[-1]]._find_owner(SERVICE)

    def _start(self, name: str, routes: RouteTable, upstreams: int) -> None:
        clock, me = self.world.add(name).clock, InstanceId(name)
        table = UpstreamTable(clock, ZoneId('z'), self.random)
        for number in range(upstreams):
            table.put(make_upstream(f'u-{number}'))
        bus, members = self.world.bus(name), self.world.members[me]
        admission = ServiceAdmission(
            clock, bus, members, me, routes, table, Metrics(), self.random
        )
        guard = RequestGuard(make_quarantine(clock, table), table)
        runner = _Runner(self, table)
        self.tables[name] = table
        self.admissions[name] = admission
        self.handlers[name] = RequestHandler(
            clock,
            Forwarder(clock, table, runner, guard),  # type: ignore[arg-type]
            StreamForwarder(clock, table, runner, guard),  # type: ignore[arg-type]
            Metrics(),
            lambda team, seconds: None,
            admission,
        )

    def send(
        self, team: str, entry: str, priority: int = 0, until: float = 0.8
    ) -> Caller:
        """Send one request to an entry."""
        self._count += 1
        caller = Caller(self.clock.now)
        call = Call(
            id=f'r-{self._count}',
            request=Request('GET', '/', []),
            body=b'',
            until=self.clock.now() + until,
            team=TeamId(team),
        )
        route = make_route(
            '/', kind=self.kind, objective=OBJECTIVE, priority=priority
        )
        clock = self.world.hosts[InstanceId(entry)].clock
        clock.spawn(self._serve, caller, entry, call, route)
        return caller

    def _serve(
        self, caller: Caller, entry: str, call: Call, route: Route
    ) -> None:
        self.handlers[entry].forward(caller, call, route, SERVICE)  # type: ignore[arg-type]
        caller.seconds = self.clock.now() - caller.arrived_at
        self.replies.setdefault(call.team, []).append(caller)

    def offer(
        self, rates: dict[str, float], seconds: float, priority: int = 0
    ) -> None:
        """Have teams send at rates, at random times and entries."""
        for team, rate in rates.items():
            for _ in range(round(rate * seconds)):
                entry = self.random.choice(self.names)
                self.clock.call_at(
                    self.clock.now() + self.random.uniform(0, seconds),
                    functools.partial(self.send, team, entry, priority),  # type: ignore[arg-type]
                )

    def list_served(self, *teams: str) -> list[Caller]:
        """Return the callers that got an answer, of all teams if none named."""
        return [
            each
            for team in teams or self.replies
            for each in self.replies.get(team, [])
            if each.status == 200
        ]

    def get_share_served(self, team: str) -> float:
        """Return the share of a team's requests that were answered."""
        return len(self.list_served(team)) / len(self.replies[team])

    def count_messages(self) -> int:
        """Return how many messages of admission control were sent."""
        messages = self.world.network.messages
        return sum(messages[kind] for kind in messages if 'Admission' in kind)
