"""The active jobs of an owner: loaded once, read, ended and removed."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.helpers.waits import wait_for
from guavagate.jobs._messages import LookupStatus
from guavagate.jobs._models import (
    PAGE_BYTES,
    ItemId,
    Job,
    JobId,
    Page,
    Result,
    make_page,
)
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import JobWork
from guavagate.jobs.records._active_job import ActiveJob
from guavagate.jobs.records._committer import Committer
from guavagate.jobs.records._store import JobStore
from guavagate.jobs.scheduling import Cadence, count_demands
from guavagate.jobs.texts import PartialTexts
from guavagate.metrics import Metrics, names
from guavagate.models import TeamId
from guavagate.ports.store import StoredObject
from guavagate.rollouts import ModelDemand

_LOGGER: Final = logging.getLogger(__name__)

RETRY_INTERVAL_SECONDS: Final = 0.1
# Readers of an uncertain job wait at least this long for its reconciliation,
# fifty times the store's usual response time; then they read the store.
RECONCILE_SECONDS: Final = 0.3
_ANY_TEAM: Final = TeamId('')


class ActiveJobs:
    """The active jobs of one owner.

    Parameters
    ----------
    on_loaded
        Called with a job that was loaded and may be worked on.
    finish
        Called with results that resubmitted items have from an earlier job.
    load_texts
        Called with a job that is taken over and its results, to read its
        partial texts from the store; may block.
    restore_texts
        Called with a job before it is worked on, to restore partial texts that
        were replicated or saved; must not block.

    Attributes
    ----------
    owning
        Whether this instance owns the service's jobs; otherwise it loads none.
    """

    def __init__(
        self,
        clock: Clock,
        job_store: JobStore,
        metrics: Metrics,
        on_loaded: Callable[[Job], None],
        finish: Callable[[JobWork, Result], None],
        load_texts: Callable[[JobId, ResultLog, int], None],
        restore_texts: Callable[[JobWork], None],
    ) -> None:
        self.owning = False
        self._clock = clock
        self._job_store = job_store
        self._metrics = metrics
        self._on_loaded = on_loaded
        self._finish = finish
        self._load_texts = load_texts
        self._restore_texts = restore_texts
        self._jobs: dict[JobId, ActiveJob] = {}
        self._ended: set[JobId] = set()
        self._loading: dict[JobId, Event] = {}
        self._expected: set[JobId] = set()
        self._partial_texts = PartialTexts()
        self._unreadable = UnreadableObjects()
        self._cadences: defaultdict[str, Cadence] = defaultdict(Cadence)

    def __contains__(self, job: JobId) -> bool:
        """Return whether a job is active."""
        return job in self._jobs

    def __iter__(self) -> Iterator[ActiveJob]:
        """Iterate over a copy of the current jobs."""
        return iter(list(self._jobs.values()))

    def get(self, job: JobId) -> ActiveJob | None:
        """Return an active job, if there is one of this id."""
        return self._jobs.get(job)

    def list_open(self) -> list[JobWork]:
        """Return the jobs that have items to run."""
        return [active.work for active in self if active.work.open]

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

    @property
    def is_complete(self) -> bool:
        """Return whether every expected job is loaded."""
        return not self._expected

    def expect(self, job: JobId) -> None:
        """Record that a job is about to be loaded."""
        self._expected.add(job)

    def add_announced(self, job: Job) -> None:
        """Add a job that an entry has just accepted; needs no store call."""
        if job.id not in self._ended:
            self._load(job, fresh=True)

    def load_announced(self, job: Job, received_at: float) -> None:
        """Add an announced job of the former owner, and read its results.

        The items may run before the store has answered. Results that the
        former owner committed then end the runs of their items.
        """
        try:
            self._load(job, fresh=True, age=self._clock.now() - received_at)
            while self.owning and self._is_unread(job.id):
                self._jobs[job.id].reconcile(self._clock)
                if self._is_unread(job.id):
                    self._clock.sleep(RETRY_INTERVAL_SECONDS)
        finally:
            self._expected.discard(job.id)

    def _is_unread(self, job: JobId) -> bool:
        active = self._jobs.get(job)
        if active is None or active.work.ended:
            return False
        return not active.reconciled

    def load_stored(
        self, job: JobId, stored: StoredObject, fresh: bool
    ) -> None:
        """Load a stored job, retrying until it succeeds."""
        try:
            self._load_stored(stored, fresh)
        finally:
            self._expected.discard(job)

    def _load_stored(self, stored: StoredObject, fresh: bool) -> None:
        while self.owning:
            try:
                self._load(self._job_store.assemble(stored), fresh=fresh)
            except StoreError as error:
                _LOGGER.debug('a job could not be loaded: %s', error)
                self._clock.sleep(RETRY_INTERVAL_SECONDS)
            except ValueError as error:
                self._unreadable.report(stored.path, str(error))
                return
            else:
                return

    def end(self, job: JobId) -> None:
        """Record that a job was ended by its trainer."""
        self._ended.add(job)
        active = self._jobs.get(job)
        if active is not None and not active.work.ended:
            self._end(active)

    def drop(self, job: JobId) -> None:
        """Remove a job that was removed from the store."""
        active = self._jobs.pop(job, None)
        if active is not None:
            active.work.ended = True
            _cancel(active.work)

    def clear(self) -> None:
        """Release all jobs to another owner."""
        self.owning = False
        for active in self:
            active.committer.stop()
            active.work.ended = True
            _cancel(active.work)
            active.changed.set()
        self._jobs.clear()
        self._expected.clear()

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
        try:
            found = self._job_store.read(job)
            if found is None:
                return LookupStatus.MISSING, None
            self._load(found, fresh=False)
        except StoreError as error:
            _LOGGER.debug('job %s could not be looked up: %s', job, error)
        active = self._jobs.get(job)
        return (
            LookupStatus.UNCERTAIN if active is None else LookupStatus.FOUND
        ), active

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

    def _load(self, job: Job, *, fresh: bool, age: float | None = None) -> None:
        """Load and activate a job; wait if another task is loading it."""
        other = self._loading.get(job.id)
        if other is not None:
            other.wait()
            return
        done = Event()
        self._loading[job.id] = done
        try:
            log = self._job_store.open_log(job.id)
            if not fresh:
                log.load()
                self._load_texts(job.id, log, len(job.items))
            if job.id not in self._jobs and self.owning:
                # If another instance already committed results, the first
                # commit finds its chunk.
                if age is None:
                    age = self._find_age(job, fresh=fresh)
                self._activate(job, log, age, fresh=fresh)
        finally:
            self._loading.pop(job.id)
            done.set()

    def _find_age(self, job: Job, *, fresh: bool) -> float:
        """Return how long ago a job was submitted, in seconds.

        A fresh job, which the store or its entry has just announced, has age
        zero whatever the clocks of the two instances say. If the clock of its
        entry was set back by seconds, a new step would seem late from its start
        and would be scheduled after all others.
        """
        if fresh:
            return 0
        return max(self._clock.wall() - job.submitted_at, 0)

    def _activate(
        self, job: Job, log: ResultLog, age: float, *, fresh: bool
    ) -> None:
        work = JobWork(job, log, self._clock.now(), age)
        self._restore_texts(work)
        changed = Event()
        committer = Committer(
            self._clock, work, changed.set, self._job_store.has_spare_writes
        )
        active = ActiveJob(work, committer, changed, int(fresh))
        self._jobs[job.id] = active
        self._cadences[job.model].observe(job.step, work.opened_at)
        active.log_start(age)
        if job.id in self._ended:
            self._end(active)
        else:
            self._restore_resubmitted(active)
        self._on_loaded(job)

    def _restore_resubmitted(self, active: ActiveJob) -> None:
        """Restore results and texts of resubmitted items of earlier jobs."""
        for result in self._partial_texts.restore(active.work):
            self._finish(active.work, result)

    def _end(self, active: ActiveJob) -> None:
        work = active.work
        work.ended = True
        active.invalidations += 1
        active.ended_at = self._clock.now()
        seconds = self._clock.now() - work.opened_at
        write(
            _LOGGER,
            events.ENDED,
            job=work.job.id,
            listed=len(work.log.committed),
            total=len(work.items),
            groups=work.complete_groups,
            wanted=work.job.target_groups,
            seconds=round(seconds, 2),
        )
        self._metrics.observe(names.JOB_SECONDS, seconds)
        _cancel(work)
        self._partial_texts.store(work)
        active.changed.set()


def _cancel(work: JobWork) -> None:
    for progress in work.items.values():
        progress.cancel()
