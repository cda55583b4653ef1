"""The active jobs of an owner, as their readers and planners see them."""

import logging
from typing import Final

from guavagate.exceptions import StoreError
from guavagate.helpers.waits import wait_for
from guavagate.jobs._messages import LookupStatus
from guavagate.jobs._models import PAGE_BYTES, ItemId, JobId, Page, make_page
from guavagate.jobs.records._active_job import ActiveJob
from guavagate.jobs.records._loaded import LoadedJobs
from guavagate.jobs.scheduling import count_demands
from guavagate.models import TeamId
from guavagate.rollouts import ModelDemand

_LOGGER: Final = logging.getLogger(__name__)

# Readers of an uncertain job wait at least this long for its reconciliation,
# fifty times the store's usual response time; then they read the store.
RECONCILE_SECONDS: Final = 0.3
_ANY_TEAM: Final = TeamId('')


class ActiveJobs(LoadedJobs):
    """The active jobs of one owner: read, reconciled and counted as demand."""

    def collect_demands(self) -> dict[str, ModelDemand]:
        """Return the demand of open and expected jobs on each model."""
        now = self._clock.now()
        demands = count_demands(self.list_open(), now)
        for model, cadence in self._cadences.items():
            due = cadence.predict_next()
            if due is not None:
                demand = demands.setdefault(model, ModelDemand())
                demand.seconds_to_next_job = due - now
                demand.steps_behind = cadence.count_steps_behind(
                    now, working=demand.open_jobs > 0
                )
        return demands

    def read(
        self, job: JobId, after: int, wait: float, team: TeamId = _ANY_TEAM
    ) -> tuple[LookupStatus, Page | None]:
        """Return results from a position on, waiting until there are any."""
        status, active = self._find_for_team(job, team)
        if active is None:
            return status, None
        uncertain = not active.has(after) and active.is_uncertain()
        if uncertain:
            self._reconcile_soon(active)
        deadline = self._clock.now() + max(wait, RECONCILE_SECONDS * uncertain)
        while self.owning and not active.has(after) and active.may_grow():
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                break
            active.changed.clear()
            wait_for(self._clock, active.changed, remaining)
        if not active.has(after) and active.is_uncertain():
            return LookupStatus.UNCERTAIN, None
        results, identity = active.work.log.results, active.work.job.identify()
        total = len(active.work.items)
        page = make_page(results, total, after, PAGE_BYTES, identity)
        return LookupStatus.FOUND, page

    def read_item(
        self, job: JobId, item: ItemId, team: TeamId = _ANY_TEAM
    ) -> tuple[LookupStatus, bytes]:
        """Return an item's body."""
        status, active = self._find_for_team(job, team)
        if active is None:
            return status, b''
        progress = active.work.items.get(item)
        if progress is None:
            return LookupStatus.MISSING, b''
        return LookupStatus.FOUND, progress.item.body

    def mark_uncertain(self) -> None:
        """Mark all jobs as uncertain: another instance may have worked on them.

        An owner that was frozen or disconnected receives reads again once it is
        back. It discovers results that others committed only when it commits
        something itself. For a job that others finished it never does, and
        readers would find nothing where they read a result before.
        """
        for active in self:
            active.invalidations += 1

    def _find_for_team(
        self, job: JobId, team: TeamId
    ) -> tuple[LookupStatus, ActiveJob | None]:
        """Return a job if a team's callers may access it.

        For others it is missing, as whether an id is in use reveals the work
        of another team.
        """
        status, active = self._find(job)
        if active is not None and not active.work.job.is_accessible_to(team):
            return LookupStatus.MISSING, None
        return status, active

    def _find(self, job: JobId) -> tuple[LookupStatus, ActiveJob | None]:
        """Return an active job; an unknown one is looked up in the store."""
        if not self.owning:
            return LookupStatus.UNCERTAIN, None
        active = self._jobs.get(job)
        if active is not None:
            return LookupStatus.FOUND, active
        if job in self._foreign:
            return LookupStatus.MISSING, None
        try:
            found = self._job_store.read(job)
            if found is None:
                return LookupStatus.MISSING, None
            self._load(found, fresh=False)
        except StoreError as error:
            _LOGGER.debug('job %s could not be looked up: %s', job, error)
        active = self._jobs.get(job)
        if active is not None:
            return LookupStatus.FOUND, active
        if job in self._foreign:
            return LookupStatus.MISSING, None
        return LookupStatus.UNCERTAIN, None

    def _reconcile_soon(self, active: ActiveJob) -> None:
        """Load results that others may have committed, in a task of its own.

        Known results never change, so only readers of a position without a
        result wait for it. If the store is unavailable, they get what is
        committed here meanwhile, or are told to read the store themselves.
        """
        if active.reconcile_task is None or active.reconcile_task.dead:
            active.reconcile_task = self._clock.spawn(
                active.reconcile, self._clock
            )
