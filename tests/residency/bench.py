"""Instances and samplers in two regions, and configurations that bind jobs."""

from collections.abc import Callable
from typing import Any

from guavagate.jobs import Job, JobId, Result
from guavagate.models import InstanceId, RegionId, TeamId, ZoneId
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Team,
)
from tests.jobs.fleet import JobFleet, Places, make_job
from tests.jobs.samplers import MODEL, SERVICE
from tests.routing.test_routes import make_route

NORTH, SOUTH = RegionId('north'), RegionId('south')
TEAM = TeamId('t')
_REGIONS = {'a': NORTH, 'b': NORTH, 'c': SOUTH, 'd': SOUTH}


def make_regions(*names: RegionId) -> frozenset[RegionId] | None:
    """Return regions, or no bound without any."""
    return frozenset(names) or None


def make_job_route(*regions: RegionId, **fields: object) -> Route:
    """Return a job route that is bound to regions."""
    return make_route(
        '/x/',
        kind=RouteKind.JOB,
        shares=(ServiceShare(SERVICE, 1),),
        regions=make_regions(*regions),
        **fields,
    )


def make_bound_job(name: str = 'job-1') -> Job:
    """Return a job of the route and team."""
    return make_job(name, path='/x/', team=TEAM)


class RegionFleet(JobFleet):
    """Two instances and two samplers of four slots in each of two regions."""

    def __init__(self, length: int = 60) -> None:
        self.version = 0
        places = Places(
            _REGIONS,
            {ZoneId('n'): NORTH, ZoneId('s'): SOUTH},
            {name: ZoneId(name[0]) for name in ('n1', 'n2', 's1', 's2')},
        )
        super().__init__(
            'abcd',
            length,
            ('n1', 'n2', 's1', 's2'),  # type: ignore[arg-type]
            places=places,
        )

    def configure(
        self, route: Route, *team: RegionId, others: tuple[Route, ...] = ()
    ) -> None:
        """Put a configuration in force at all instances."""
        self.version += 1
        configuration = Configuration(
            version=self.version,
            routes=(route, *others),
            services=(Service(id=SERVICE, models=(MODEL,)),),
            teams=(
                Team(id=TEAM, key_hashes=('x',), regions=make_regions(*team)),
            ),
        )
        for node in self.nodes.values():
            node.routes.apply(configuration)
            node.refresh()
        self.clock.advance(0.5)

    def list_owners(self) -> list[str]:
        """Return the owner and its successors as each instance sees them."""
        seen = {
            tuple(each.ownership.list_in_turn(SERVICE))
            for name, each in self.nodes.items()
            if not self.world.hosts[InstanceId(name)].dead
        }
        assert len(seen) == 1
        return [str(each) for each in seen.pop()]

    def read(
        self, job: str, at: str, after: int = 0
    ) -> tuple[object, list[Result]]:
        """Return a job's look-up status and results as the team reads it."""
        reader = self.nodes[at].reader
        known, page = self.run(
            reader.read, [SERVICE], JobId(job), after, 0, TEAM
        )
        return known, [] if page is None else page.results

    def run(self, call: Callable[..., Any], *args: object) -> Any:
        """Return the result of a call that may wait for the store."""
        task = self.clock.spawn(call, *args)
        self.clock.run_until(task.ready, 5)
        return task.get(block=False)

    def list_used(self) -> set[str]:
        """Return the samplers that items were sent to since the last call."""
        used = set()
        for node in self.nodes.values():
            used |= {sampler for _, sampler, _ in node.samplers.started}
            node.samplers.started.clear()
        return used
