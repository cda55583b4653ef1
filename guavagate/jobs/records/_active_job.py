"""One active job of an owner, and what its readers have to know."""

import logging
from typing import Final

import msgspec
from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.jobs._models import Result
from guavagate.jobs._result_log import WRITE_TIMEOUT_SECONDS
from guavagate.jobs._work import JobWork
from guavagate.jobs.records._committer import Committer

_LOGGER: Final = logging.getLogger(__name__)


class ActiveJob(msgspec.Struct):
    """An active job and the event that wakes readers of its results.

    `invalidations` counts how often another instance may have committed results
    that are unknown here, `reconciled` how many of these were resolved by a
    read of the store; `ended_at` is on the runtime's clock.
    """

    work: JobWork
    committer: Committer
    changed: Event
    invalidations: int = 0
    reconciled: int = 0
    ended_at: float | None = None
    reconcile_task: Task | None = None

    def may_grow(self) -> bool:
        """Return whether further results may become known here."""
        return self.work.open or self.is_uncertain()

    def has(self, position: int) -> bool:
        """Return whether a position has a result."""
        return len(self.work.log.results) > position

    def is_uncertain(self) -> bool:
        """Return whether another instance may have committed more results."""
        complete = len(self.work.log.committed) >= len(self.work.items)
        return self.invalidations > self.reconciled and not complete

    def reconcile(self, clock: Clock) -> None:
        """Load results that others may have committed; may block for long."""
        invalidations = self.invalidations
        started_at = clock.now()
        try:
            self.work.log.load()
        except StoreError as error:
            _LOGGER.debug('%s stays uncertain: %s', self.work.job.id, error)
            return
        self.work.apply_committed()
        # Writes in flight when the job ended may still take effect.
        ending = self.ended_at is not None and (
            started_at < self.ended_at + WRITE_TIMEOUT_SECONDS
        )
        if not ending:
            self.reconciled = max(self.reconciled, invalidations)
        self.changed.set()

    def log_start(self, age: float) -> None:
        """Log that this instance starts to work on the job."""
        job, items = self.work.job, self.work.items
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
            listed=len(self.work.log.committed),
            told=sum(bool(each.text.last_number) for each in items.values()),
            age=round(age, 2),
        )

    def log_result(self, result: Result, seconds: float) -> None:
        """Log an item's result and for how many seconds the item ran."""
        progress = self.work.items[result.id]
        write(
            _LOGGER,
            events.ITEM_DONE,
            job=self.work.job.id,
            item=result.id,
            state=result.state.value,
            versions=result.versions,
            sampler=progress.sampler,
            events=progress.text.last_number,
            moves=progress.moves,
            seconds=round(seconds, 2),
            longest_gap=round(progress.longest_gap, 2),
        )
