"""One active job of an owner, and what its readers have to know."""

import msgspec
from gevent.event import Event

from guavagate.clock import Task
from guavagate.jobs._committer import Committer
from guavagate.jobs._work import JobWork


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
