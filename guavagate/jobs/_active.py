"""The jobs in work at their owner: taken in once, read, ended, let go."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Final

import msgspec
from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.helpers.waits import wait_for
from guavagate.jobs._cadence import Cadence
from guavagate.jobs._committer import Committer
from guavagate.jobs._messages import LookupStatus
from guavagate.jobs._models import (
    ItemId,
    Job,
    JobId,
    Page,
    Result,
    make_page,
)
from guavagate.jobs._partial_texts import PartialTexts
from guavagate.jobs._result_log import WRITE_TIMEOUT_SECONDS, ResultLog
from guavagate.jobs._schedule import count_demands
from guavagate.jobs._store import JobStore
from guavagate.jobs._work import JobWork
from guavagate.metrics import Metrics, names
from guavagate.models import TeamId
from guavagate.ports.store import StoredObject
from guavagate.rollouts import ModelDemand

_LOGGER: Final = logging.getLogger(__name__)

RETRY_SECONDS: Final = 0.1
PAGE_BYTES: Final = 900_000
# Readers of a job in doubt wait at least so long for its look-up, fifty usual
# answers of the store; then they ask the store themselves.
SETTLE_SECONDS: Final = 0.3
_ANYBODY: Final = TeamId('')


class ActiveJob(msgspec.Struct):
    """A job in work, and who waits for its results.

    `invalidations` counts how often another instance may have listed results
    unknown here, `reconciled` how many of these were looked into;
    `ended_at` is on the runtime's clock.
    """

    work: JobWork
    committer: Committer
    changed: Event
    invalidations: int = 0
    reconciled: int = 0
    ended_at: float | None = None
    reconcile_task: Task | None = None

    def may_grow(self) -> bool:
        """Return whether further results may come to be known here."""
        return self.work.open or self.is_uncertain()

    def has(self, position: int) -> bool:
        """Return whether there is a result at a position."""
        return len(self.work.log.results) > position

    def is_uncertain(self) -> bool:
        """Return whether what is not here may have been listed elsewhere."""
        whole = len(self.work.log.committed) >= len(self.work.items)
        return self.invalidations > self.reconciled and not whole


class ActiveJobs:
    """What one owner has in work.

    Parameters
    ----------
    taken
        Called with a job that was taken in and may be worked on.
    finish
        Called with results that a job has from an earlier one.
    bring
        Called with a job before it is worked on, to give it texts that its
        former owner has told.

    Attributes
    ----------
    active
        Whether the owner is at work; nothing is taken in else.
    """

    def __init__(
        self,
        clock: Clock,
        job_store: JobStore,
        metrics: Metrics,
        taken: Callable[[Job], None],
        finish: Callable[[JobWork, Result], None],
        bring: Callable[[JobWork], None],
    ) -> None:
        self.active = False
        self._clock = clock
        self._job_store = job_store
        self._metrics = metrics
        self._taken = taken
        self._finish = finish
        self._bring = bring
        self._held: dict[JobId, ActiveJob] = {}
        self._ended: set[JobId] = set()
        self._loading: dict[JobId, Event] = {}
        self._expected: set[JobId] = set()
        self._partial_texts = PartialTexts()
        self._unreadable = UnreadableObjects()
        self._cadences: defaultdict[str, Cadence] = defaultdict(Cadence)

    def __contains__(self, job: JobId) -> bool:
        """Return whether a job is in work."""
        return job in self._held

    def __iter__(self) -> Iterator[ActiveJob]:
        """Return the jobs as they are now."""
        return iter(list(self._held.values()))

    def get(self, job: JobId) -> ActiveJob | None:
        """Return a job in work."""
        return self._held.get(job)

    def list_open(self) -> list[JobWork]:
        """Return the jobs that have items to run."""
        return [held.work for held in self if held.work.open]

    def demands(self) -> dict[str, ModelDemand]:
        """Return what the open jobs, and the next ones, ask of each model."""
        now = self._clock.now()
        demands = count_demands(self.list_open(), now)
        for model, cadence in self._cadences.items():
            due = cadence.expect_next()
            if due is not None:
                demand = demands.setdefault(model, ModelDemand())
                demand.next_in = due - now
        return demands

    def read(
        self, job: JobId, after: int, wait: float, team: TeamId = _ANYBODY
    ) -> tuple[LookupStatus, Page | None]:
        """Return results from a position on, once there are any."""
        known, held = self._find_for(job, team)
        if held is None:
            return known, None
        doubtful = not held.has(after) and held.is_uncertain()
        if doubtful:
            self._reconcile_soon(held)
        until = self._clock.now() + max(wait, SETTLE_SECONDS * doubtful)
        while self.active and not held.has(after) and held.may_grow():
            left = until - self._clock.now()
            if left <= 0:
                break
            held.changed.clear()
            wait_for(self._clock, held.changed, left)
        if not held.has(after) and held.is_uncertain():
            return LookupStatus.UNCERTAIN, None
        results = held.work.log.results
        total = len(held.work.items)
        return LookupStatus.FOUND, make_page(results, total, after, PAGE_BYTES)

    def read_item(
        self, job: JobId, item: ItemId, team: TeamId = _ANYBODY
    ) -> tuple[LookupStatus, bytes]:
        """Return an item's body."""
        known, held = self._find_for(job, team)
        if held is None:
            return known, b''
        progress = held.work.items.get(item)
        if progress is None:
            return LookupStatus.MISSING, b''
        return LookupStatus.FOUND, progress.item.body

    def mark_uncertain(self) -> None:
        """Take in that another instance may have worked here meanwhile.

        An owner that was frozen or cut off is asked again when it is back. It
        learns what others have listed when it lists something itself; for a
        job that they have finished it never does, and readers would find
        nothing where there was a result before.
        """
        for held in self:
            held.invalidations += 1

    @property
    def is_complete(self) -> bool:
        """Return whether every job that is to be taken in has been."""
        return not self._expected

    def expect(self, job: JobId) -> None:
        """Note that a job is about to be taken in."""
        self._expected.add(job)

    def take_stored(
        self, job: JobId, stored: StoredObject, fresh: bool
    ) -> None:
        """Take a stored job in, however long that takes."""
        try:
            self._take_stored(stored, fresh)
        finally:
            self._expected.discard(job)

    def _take_stored(self, stored: StoredObject, fresh: bool) -> None:
        while self.active:
            try:
                self._load(self._job_store.assemble(stored), fresh=fresh)
            except StoreError as error:
                _LOGGER.debug('a job can not be loaded: %s', error)
                self._clock.sleep(RETRY_SECONDS)
            except ValueError as error:
                self._unreadable.note(stored.path, str(error))
                return
            else:
                return

    def end(self, job: JobId) -> None:
        """Note that a job was ended by its trainer."""
        self._ended.add(job)
        held = self._held.get(job)
        if held is not None and not held.work.ended:
            self._end(held)

    def drop(self, job: JobId) -> None:
        """Forget a job that is gone from the store."""
        held = self._held.pop(job, None)
        if held is not None:
            held.work.ended = True
            _cancel(held.work)

    def clear(self) -> None:
        """Leave all jobs to another owner."""
        self.active = False
        for held in self:
            held.committer.stop()
            held.work.ended = True
            _cancel(held.work)
            held.changed.set()
        self._held.clear()
        self._expected.clear()

    def _find_for(
        self, job: JobId, team: TeamId
    ) -> tuple[LookupStatus, ActiveJob | None]:
        """Return a job if a team's callers may see it.

        To others it is not there: whether an id is taken tells of the work of
        another team.
        """
        known, held = self._find(job)
        if held is not None and not held.work.job.is_accessible_to(team):
            return LookupStatus.MISSING, None
        return known, held

    def _find(self, job: JobId) -> tuple[LookupStatus, ActiveJob | None]:
        """Return a job in work; one not heard of yet is looked for."""
        if not self.active:
            return LookupStatus.UNCERTAIN, None
        held = self._held.get(job)
        if held is not None:
            return LookupStatus.FOUND, held
        try:
            found = self._job_store.read(job)
            if found is None:
                return LookupStatus.MISSING, None
            self._load(found, fresh=False)
        except StoreError as error:
            _LOGGER.debug('job %s can not be looked for: %s', job, error)
        held = self._held.get(job)
        return (
            LookupStatus.UNCERTAIN if held is None else LookupStatus.FOUND
        ), held

    def _reconcile_soon(self, held: ActiveJob) -> None:
        """Look up in a task of its own what others may have listed.

        What is here never changes, so only readers of a position without a
        result wait for it. The store may be away; who waits gets what is
        listed here meanwhile, or is told to ask the store.
        """
        if held.reconcile_task is None or held.reconcile_task.dead:
            held.reconcile_task = self._clock.spawn(self._reconcile, held)

    def _reconcile(self, held: ActiveJob) -> None:
        invalidations = held.invalidations
        asked = self._clock.now()
        try:
            held.work.log.load()
        except StoreError as error:
            _LOGGER.debug('%s stays in doubt: %s', held.work.job.id, error)
            return
        held.work.note_listed()
        # Writes that were on their way at the end may still come.
        ending = held.ended_at is not None and (
            asked < held.ended_at + WRITE_TIMEOUT_SECONDS
        )
        if not ending:
            held.reconciled = max(held.reconciled, invalidations)
        held.changed.set()

    def _load(self, job: Job, *, fresh: bool) -> None:
        """Take a job into work; waits while another task does so."""
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
            if job.id not in self._held and self.active:
                # Should another have listed results already, the first chunk
                # meets the one that is there.
                self._hold(job, log, fresh=fresh)
        finally:
            self._loading.pop(job.id)
            done.set()

    def _find_age(self, job: Job, *, fresh: bool) -> float:
        """Return how long ago a job was submitted, in seconds.

        One that the store has just told of was submitted just now, whatever
        the clocks of the two instances say. By a clock that was set back by
        seconds a new step would seem to be late from its start, and would be
        put behind all others.
        """
        if fresh:
            return 0
        return max(self._clock.wall() - job.submitted_at, 0)

    def _hold(self, job: Job, log: ResultLog, *, fresh: bool) -> None:
        age = self._find_age(job, fresh=fresh)
        work = JobWork(job, log, self._clock.now(), age)
        self._bring(work)
        changed = Event()
        committer = Committer(self._clock, work, changed.set)
        held = ActiveJob(work, committer, changed, int(fresh))
        self._held[job.id] = held
        self._cadences[job.model].note(job.step, work.since)
        write(
            _LOGGER,
            events.OWNED,
            job=job.id,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            objective=job.objective,
            wanted=job.target_groups,
            items=len(job.items),
            listed=len(log.committed),
            told=sum(bool(each.text.last) for each in work.items.values()),
            age=round(age, 2),
        )
        if job.id in self._ended:
            self._end(held)
        else:
            self._take_carried(held)
        self._taken(job)

    def _take_carried(self, held: ActiveJob) -> None:
        """Use what is there of items that an earlier job left unfinished."""
        for result in self._partial_texts.restore(held.work):
            self._finish(held.work, result)

    def _end(self, held: ActiveJob) -> None:
        work = held.work
        work.ended = True
        held.invalidations += 1
        held.ended_at = self._clock.now()
        seconds = self._clock.now() - work.since
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
        held.changed.set()


def _cancel(work: JobWork) -> None:
    for progress in work.items.values():
        progress.cancel()
