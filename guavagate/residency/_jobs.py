"""Binds jobs, and the instances that hold their bodies, to regions."""

import logging
from collections.abc import Iterable, Sequence
from typing import Final, Protocol

from guavagate.events import residency as events
from guavagate.events import write
from guavagate.exceptions import OutsideRegionsError
from guavagate.metrics import Metrics, names
from guavagate.models import ANYWHERE, InstanceId, Regions, ServiceId, TeamId
from guavagate.ports.rewards import RewardRequest
from guavagate.residency._bounds import Bound, BoundTable, list_names
from guavagate.residency._const import OUTSIDE_RETRY_SECONDS
from guavagate.residency._regions import (
    combine_regions,
    find_default_regions,
    find_home_regions,
    is_inside,
)
from guavagate.routing import Obstacle, RouteTable, UpstreamTable
from guavagate.runtime import Members

_LOGGER: Final = logging.getLogger(__name__)

# An instance or a sampler inside may be there at any moment.
RETURN_SECONDS: Final = 0.5
# Parts of the paths of store calls that carry bodies or texts of jobs.
_BODY_PATHS: Final = ('jobs', 'job-parts', 'job-results', 'job-texts')


class BoundJob(Protocol):
    """What determines the regions of a job."""

    @property
    def id(self) -> str:
        """Return its id."""

    @property
    def host(self) -> str:
        """Return the host that its route matches."""

    @property
    def service(self) -> ServiceId:
        """Return the service that runs its items."""

    @property
    def team(self) -> TeamId:
        """Return the team that submitted it, or '' if there was none."""

    @property
    def regions(self) -> Regions:
        """Return the regions that it was accepted with."""

    @property
    def route_path(self) -> str:
        """Return a path that its route matches."""

    def list_rewards(self) -> Iterable[RewardRequest]:
        """Return its reward requests."""


class JobBounds(Protocol):
    """Determines the regions of jobs, and who may hold their bodies."""

    def find_job_regions(self, job: BoundJob) -> Regions:
        """Return the regions that a job is bound to now."""

    def may_hold(self, regions: Regions, instance: InstanceId) -> bool:
        """Return whether an instance may hold bodies bound to regions."""

    def may_hold_here(self, regions: Regions) -> bool:
        """Return whether this instance may hold bodies bound to regions."""

    def find_home_regions(self, service: ServiceId) -> Regions:
        """Return the regions in which a service's jobs have their owner."""

    def find_default_regions(self, service: ServiceId) -> Regions:
        """Return the regions for a model whose jobs are not known yet."""

    def check_job(self, job: BoundJob, owner: InstanceId | None) -> Regions:
        """Return the regions of a new job.

        Raises
        ------
        OutsideRegionsError
            The job cannot run inside its regions.
        """


class UnboundJobs:
    """Implements `JobBounds` without any bound."""

    def find_job_regions(self, job: BoundJob) -> Regions:
        """Return that the job may run anywhere."""
        return ANYWHERE

    def may_hold(self, regions: Regions, instance: InstanceId) -> bool:
        """Return that any instance may hold the body."""
        return True

    def may_hold_here(self, regions: Regions) -> bool:
        """Return that this instance may hold the body."""
        return True

    def find_home_regions(self, service: ServiceId) -> Regions:
        """Return that any instance may be the owner."""
        return ANYWHERE

    def find_default_regions(self, service: ServiceId) -> Regions:
        """Return that a model may have any samplers."""
        return ANYWHERE

    def check_job(self, job: BoundJob, owner: InstanceId | None) -> Regions:
        """Accept any job."""
        return ANYWHERE


class JobResidency:
    """Implements `JobBounds` by the configuration in force."""

    def __init__(
        self,
        routes: RouteTable,
        bounds: BoundTable,
        upstreams: UpstreamTable,
        members: Members,
        me: InstanceId,
        metrics: Metrics,
    ) -> None:
        self._routes = routes
        self._bounds = bounds
        self._upstreams = upstreams
        self._members = members
        self._me = me
        self._metrics = metrics

    def find_job_regions(self, job: BoundJob) -> Regions:
        """Return the regions that a job is bound to now."""
        if job.regions is ANYWHERE and not self._bounds.names_regions():
            return ANYWHERE
        return self._find_bound(job).regions

    def may_hold(self, regions: Regions, instance: InstanceId) -> bool:
        """Return whether an instance may hold bodies bound to regions.

        An unknown instance may be anywhere.
        """
        if regions is None:
            return True
        found = self._members.get(instance)
        return found is not None and is_inside(found.region, regions)

    def may_hold_here(self, regions: Regions) -> bool:
        """Return whether this instance may hold bodies bound to regions."""
        return self.may_hold(regions, self._me)

    def check_job(self, job: BoundJob, owner: InstanceId | None) -> Regions:
        """Return the regions of a new job; see `JobBounds`."""
        bound = self._find_bound(job)
        problem = self._find_problem(job, bound.regions, owner)
        if not problem:
            return bound.regions
        self._metrics.count(names.REGION_REFUSALS, kind='job')
        write(
            _LOGGER,
            events.JOB_OUTSIDE_REGIONS,
            job=job.id,
            service=job.service,
            owner=owner,
            reason=problem,
            **bound.describe(),
        )
        lasts = bound.regions is not None and not bound.regions
        raise OutsideRegionsError(
            problem,
            'compare the regions of its route, its team and upstreams',
            retry_after=OUTSIDE_RETRY_SECONDS if lasts else RETURN_SECONDS,
        )

    def find_home_regions(self, service: ServiceId) -> Regions:
        """Return the regions in which a service's jobs have their owner."""
        if not self._bounds.names_regions():
            return ANYWHERE
        return find_home_regions(self._bounds.list_for_service(service))

    def find_default_regions(self, service: ServiceId) -> Regions:
        """Return the regions for a model whose jobs are not known yet."""
        if not self._bounds.names_regions():
            return ANYWHERE
        return find_default_regions(self._bounds.list_for_service(service))

    def may_relay(self, peer: InstanceId, path: str) -> bool:
        """Return whether a peer may make a store call for this instance.

        Calls with bodies stay in the own region once the configuration names
        regions: a body is not known by its path to be bound or not.
        """
        if not self._bounds.names_regions():
            return True
        if not any(each in path for each in _BODY_PATHS):
            return True
        here, there = self._members.get(self._me), self._members.get(peer)
        if here is None or there is None:
            return False
        return here.region == there.region

    def _find_bound(self, job: BoundJob) -> Bound:
        return self._bounds.find_for_job(
            job.host, job.route_path, job.team, job.regions
        )

    def _find_problem(
        self, job: BoundJob, regions: Regions, owner: InstanceId | None
    ) -> str:
        """Return why a job cannot run inside its regions, or ''."""
        if not self._bounds.names_regions():
            return ''
        if regions is not None and not regions:
            return 'route and team allow no region in common'
        if owner is not None and not self.may_hold(regions, owner):
            return "the owner of the service's jobs is outside the regions"
        obstacle = self._upstreams.explain(job.service, regions)
        if obstacle is Obstacle.OUTSIDE_REGIONS:
            return 'no sampler is inside the regions'
        contradicting = self._find_contradicting_rewards(job, regions)
        if contradicting:
            return f'reward route outside the regions: {contradicting[0]}'
        return ''

    def _find_contradicting_rewards(
        self, job: BoundJob, regions: Regions
    ) -> Sequence[str]:
        """Return the reward routes that have no region in common with a job."""
        found = {
            route.name: route.regions
            for reward in job.list_rewards()
            if (route := self._routes.find(reward.host, reward.path))
        }
        return [
            f'{name} {list_names(route)}'
            for name, route in found.items()
            if combine_regions(regions, route) == frozenset()
        ]
