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


class Committer:
    """Commits the results of one job.

    Parameters
    ----------
    on_committed
        Called after results were committed; must not block.
    """

    def __init__(
        self, clock: Clock, work: JobWork, on_committed: Callable[[], None]
    ) -> None:
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

    def _run(self) -> None:
        work = self._work
        while work.pending:
            wait_for(self._clock, self._urgent, BATCH_SECONDS)
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
