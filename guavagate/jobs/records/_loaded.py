"""Loads the jobs of an owner, each once, and ends and removes them."""

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
from guavagate.jobs._models import Job, JobId, Result
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import JobWork
from guavagate.jobs.records._active_job import ActiveJob
from guavagate.jobs.records._committer import Committer
from guavagate.jobs.records._store import JobStore
from guavagate.jobs.scheduling import Cadence
from guavagate.jobs.texts import PartialTexts
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId
from guavagate.ports.store import StoredObject

_LOGGER: Final = logging.getLogger(__name__)

RETRY_INTERVAL_SECONDS: Final = 0.1


class LoadedJobs:
    """The jobs that one owner has loaded.

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
        service: ServiceId,
        clock: Clock,
        job_store: JobStore,
        metrics: Metrics,
        on_loaded: Callable[[Job], None],
        finish: Callable[[JobWork, Result], None],
        load_texts: Callable[[JobId, ResultLog, int], None],
        restore_texts: Callable[[JobWork], None],
    ) -> None:
        self.owning = False
        self._service = service
        self._clock = clock
        self._job_store = job_store
        self._metrics = metrics
        self._on_loaded = on_loaded
        self._finish = finish
        self._load_texts = load_texts
        self._restore_texts = restore_texts
        self._jobs: dict[JobId, ActiveJob] = {}
        self._ended: set[JobId] = set()
        # Jobs of other services, so that reads of them need no store call.
        self._foreign: set[JobId] = set()
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

    @property
    def is_complete(self) -> bool:
        """Return whether every expected job is loaded."""
        return not self._expected

    def record_foreign(self, job: JobId) -> None:
        """Record that a job belongs to another service."""
        self._foreign.add(job)

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
        self._foreign.discard(job)
        active = self._jobs.pop(job, None)
        if active is not None:
            active.work.ended = True
            _cancel(active.work)

    def release(self, job: JobId) -> None:
        """Stop working on a job that another instance may continue."""
        active = self._jobs.pop(job, None)
        if active is not None:
            active.committer.stop()
            active.work.ended = True
            _cancel(active.work)
            active.changed.set()

    def clear(self) -> None:
        """Release all jobs to another owner."""
        self.owning = False
        for job in list(self._jobs):
            self.release(job)
        self._expected.clear()
        self._foreign.clear()

    def _load(self, job: Job, *, fresh: bool, age: float | None = None) -> None:
        """Load and activate a job; wait if another task is loading it.

        Jobs arrive by the store's watch, by announcements and by reads, which
        name no service. One of another service is loaded by none of these ways:
        its items would run on samplers to which its route doesn't lead, beside
        those of its own owner.
        """
        if job.service != self._service:
            self.record_foreign(job.id)
            write(
                _LOGGER,
                events.FOREIGN_JOB_IGNORED,
                job=job.id,
                service=job.service,
                owned=self._service,
            )
            return
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
