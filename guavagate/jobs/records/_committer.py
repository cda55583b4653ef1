"""Commits finished results in batches, as each write to the store is costly."""

import logging
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.store_writes import MaybeWrittenError, NotWrittenError
from guavagate.helpers.waits import wait_for
from guavagate.jobs._work import JobWork

_LOGGER: Final = logging.getLogger(__name__)

# How long a result waits for others to share its write. A step takes seconds
# and its last result does not wait, so a trainer sees no delay.
BATCH_SECONDS: Final = 0.3
RETRY_INTERVAL_SECONDS: Final = 0.2
# While the store's rate of writes is used up. A batch that has waited for long
# is written all the same, as readers wait for its results.
SPARE_CHECK_SECONDS: Final = 0.1
MAX_SPARE_WAIT_SECONDS: Final = 3.0


class Committer:
    """Commits the results of one job.

    Parameters
    ----------
    on_committed
        Called after results were committed; must not block.
    has_spare_writes
        Returns whether a batch may be written now. An owner's batches may
        exceed its share of the store's rate of writes, and urgent results
        would queue with them.
    """

    def __init__(
        self,
        clock: Clock,
        work: JobWork,
        on_committed: Callable[[], None],
        has_spare_writes: Callable[[], bool],
    ) -> None:
        self._has_spare_writes = has_spare_writes
        self._clock = clock
        self._work = work
        self._on_committed = on_committed
        self._urgent = Event()
        self._task: Task | None = None

    def commit_pending(self, *, urgent: bool) -> None:
        """Commit the pending results, immediately if urgent."""
        if urgent:
            self._urgent.set()
        if self._task is None or self._task.dead:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop committing results."""
        if self._task is not None:
            self._task.kill(block=False)

    def _wait_for_batch(self) -> None:
        """Wait for more results, and until a batch takes no urgent write."""
        wait_for(self._clock, self._urgent, BATCH_SECONDS)
        latest = self._clock.now() + MAX_SPARE_WAIT_SECONDS
        while not self._urgent.is_set() and self._clock.now() < latest:
            if self._has_spare_writes():
                return
            wait_for(self._clock, self._urgent, SPARE_CHECK_SECONDS)

    def _run(self) -> None:
        work = self._work
        while work.pending:
            self._wait_for_batch()
            urgent = self._urgent.is_set()
            self._urgent.clear()
            try:
                added = work.log.append(list(work.pending))
            except (NotWrittenError, MaybeWrittenError, StoreError) as error:
                write(
                    _LOGGER,
                    events.COMMIT_FAILED,
                    job=work.job.id,
                    pending=len(work.pending),
                    problem=repr(error),
                )
                self._clock.sleep(RETRY_INTERVAL_SECONDS)
                if urgent:
                    self._urgent.set()
                continue
            work.apply_committed()
            write(
                _LOGGER,
                events.RESULTS_COMMITTED,
                job=work.job.id,
                added=len(added),
                listed=len(work.log.committed),
                total=len(work.items),
                groups=work.complete_groups,
            )
            self._on_committed()
