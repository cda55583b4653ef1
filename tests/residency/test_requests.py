"""Plain requests and rewards that are bound to regions."""

import msgspec
import pytest
from gevent.queue import Queue

from guavagate.clock import PausedClock
from guavagate.forwarding import (
    AttemptState,
    Forwarder,
    Outcome,
    OutcomeKind,
    RequestGuard,
)
from guavagate.http1 import Request
from guavagate.metrics import Metrics
from guavagate.models import (
    ANYWHERE,
    InstanceId,
    RegionId,
    Regions,
    ServiceId,
    TeamId,
    ZoneId,
)
from guavagate.ports.configuration import Configuration, Route, Team
from guavagate.ports.dialect import Call
from guavagate.residency import OUTSIDE_RETRY_SECONDS, Residency, Unbound
from guavagate.routing import Eligibility, RouteTable, UpstreamTable
from tests.forwarding.bench import FULL, GOOD, FakeAttemptRunner
from tests.forwarding.stream_bench import (
    END,
    HEAD,
    StreamBench,
    make_chunk,
    make_event,
)
from tests.quarantine.common import make_quarantine
from tests.residency.bench import NORTH, SOUTH, TEAM, make_regions
from tests.routing.test_routes import make_route, make_upstream

_SERVICE = ServiceId('s')
_REGION_OF = {ZoneId('n'): NORTH, ZoneId('s'): SOUTH}


class _NoMembers:
    """Fake of `Members` that knows no instance."""

    def get(self, instance: InstanceId) -> None:
        """Return that the instance is not known."""


class _Entry:
    """An entry in the north; its upstreams are named like their zones."""

    def __init__(self, *zones: str) -> None:
        self.clock = PausedClock()
        self.version = 0
        self.routes = RouteTable()
        self.upstreams = UpstreamTable(
            self.clock, ZoneId('n'), eligibility=Eligibility(_REGION_OF)
        )
        self.runner = FakeAttemptRunner(self.clock)
        self.residency = Residency(
            self.routes,
            self.upstreams,
            _NoMembers(),  # type: ignore[arg-type]
            InstanceId('me'),
            Metrics(),
        )
        for zone in zones:
            self.upstreams.put(make_upstream(zone, zone))
            self.runner.plans[zone] = GOOD
        quarantine = make_quarantine(self.clock, self.upstreams)
        self.forwarder = Forwarder(
            self.clock,
            self.upstreams,
            self.runner,  # type: ignore[arg-type]
            RequestGuard(quarantine, self.upstreams),
            bounds=self.residency.requests,
        )

    def configure(
        self, *route: RegionId, team: RegionId | None = None
    ) -> Route:
        """Put a route and a team in force; return the route."""
        self.version += 1
        found = make_route('/', regions=make_regions(*route), max_attempts=3)
        regions = make_regions(*([team] if team else []))
        teams = (Team(id=TEAM, key_hashes=('x',), regions=regions),)
        self.routes.apply(
            Configuration(version=self.version, routes=(found,), teams=teams)
        )
        return found

    def send(self, route: Route, team: TeamId = TEAM) -> Outcome:
        """Forward a request of a team."""
        request = Request('GET', '/', [(b'Host', b'a.example')])
        until = self.clock.now() + 1
        call = Call(id='1', request=request, body=b'', until=until, team=team)
        task = self.clock.spawn(
            self.forwarder.forward, call, route, _SERVICE, Queue()
        )
        self.clock.run_until(task.ready, 10)
        outcome: Outcome = task.get(block=False)
        return outcome


def test_an_entry_outside_the_regions_uses_upstreams_inside() -> None:
    """The own zone is preferred, and here it must not be used."""
    entry = _Entry('n', 's')
    for _ in range(5):
        outcome = entry.send(entry.configure(SOUTH))
        assert outcome.kind is OutcomeKind.ANSWER
        assert entry.send(entry.configure(team=SOUTH)).attempt is not None
    assert set(entry.runner.made) == {'s'}


@pytest.mark.parametrize(
    ('route', 'team', 'zones'),
    [
        (SOUTH, None, 'n'),
        (SOUTH, NORTH, 'ns'),
        (SOUTH, None, 'nx'),
        (RegionId('unknown'), None, 'nsx'),
    ],
)
def test_a_request_without_an_upstream_inside_is_refused_at_once(
    route: RegionId,
    team: RegionId | None,
    zones: str,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """No upstream left, a contradiction, an unknown zone, an unknown region.

    A try at any upstream would carry the body out of its regions. The caller
    would return in vain before another configuration is in force.
    """
    entry = _Entry(*zones)
    started_at = entry.clock.now()
    with caplog.at_level('INFO'):
        outcome = entry.send(entry.configure(route, team=team))
    assert outcome.kind is OutcomeKind.NOT_RUN
    lasts = outcome.retry_after == OUTSIDE_RETRY_SECONDS
    assert lasts is (team is not None)
    assert not entry.runner.made
    assert entry.clock.now() == started_at
    assert 'GG8070' in caplog.text
    known = route in {NORTH, SOUTH} and 'x' not in zones
    assert ('GG8074' in caplog.text) is not known


def test_an_upstream_inside_that_leaves_is_not_called_outside() -> None:
    """Its successor registers within seconds, so callers return sooner."""
    entry = _Entry('n', 's')
    leaving = msgspec.structs.replace(make_upstream('s', 's'), leaving=True)
    entry.upstreams.put(leaving)
    outcome = entry.send(entry.configure(SOUTH))
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert outcome.reason == 'no upstream: leaving'


def test_a_change_applies_to_the_next_attempt() -> None:
    """A request waits or is refused as full, and its regions change meanwhile.

    With the regions that it began with, its next attempt would leave the new
    ones.
    """
    entry = _Entry('n', 's')
    entry.runner.plans = {'n': FULL, 's': FULL}
    route = entry.configure()
    make = entry.runner.make

    def change(*args: object, **options: object) -> object:
        entry.configure(NORTH)
        return make(*args, **options)  # type: ignore[arg-type]

    entry.runner.make = change  # type: ignore[method-assign, assignment]
    entry.upstreams.put(make_upstream('n2', 'n'))
    entry.runner.plans['n2'] = FULL
    outcome = entry.send(route)
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert len(entry.runner.made) >= 2
    assert 's' not in entry.runner.made[1:]


class _Changing(Unbound):
    """Bounds that are in force from the second attempt on."""

    def __init__(self) -> None:
        self.regions: Regions = ANYWHERE

    def find_regions(self, call: Call, route: Route) -> Regions:
        """Return the regions in force."""
        return self.regions


def test_a_stream_resumes_in_the_regions_in_force() -> None:
    """Its regions change while it runs, and the next upstream is outside.

    The caller gets the events so far, and not the end.
    """
    bench = StreamBench()
    bounds = _Changing()
    bench.bounds = bounds
    bench.upstreams.eligibility.region_of = {
        ZoneId('z'): NORTH,
        ZoneId('y'): SOUTH,
    }

    def change() -> None:
        bounds.regions = make_regions(NORTH)

    event = HEAD + make_chunk(make_event(1))
    bench.add('a', 'z', event, then=change)
    bench.add('b', 'y', event + END)
    assert not bench.stream().endswith(END)
    assert set(bench.requests) == {'a'}
    for server in bench.servers:
        server.stop()


def test_requests_without_a_bound_use_any_upstream() -> None:
    """Bounds of other routes and teams must not affect them."""
    entry = _Entry('x')
    route = entry.configure(team=SOUTH)
    outcome = entry.send(route, TeamId(''))
    assert outcome.attempt is not None
    assert outcome.attempt.state is AttemptState.ANSWERED
