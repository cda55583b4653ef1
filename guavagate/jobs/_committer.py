"""Lists finished results in groups: each write to the store has its price."""

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

# Results wait this long for company. A step takes seconds and its last result
# does not wait, so a trainer sees no delay by it.
GROUP_SECONDS: Final = 0.3
RETRY_SECONDS: Final = 0.2


class Committer:
    """Lists the results of one job.

    Parameters
    ----------
    listed
        Called, without blocking, after results were listed.
    """

    def __init__(
        self, clock: Clock, work: JobWork, listed: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._work = work
        self._listed = listed
        self._urgent = Event()
        self._task: Task | None = None

    def take(self, *, urgent: bool) -> None:
        """List what is pending; at once if it is urgent."""
        if urgent:
            self._urgent.set()
        if self._task is None or self._task.dead:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """List nothing more."""
        if self._task is not None:
            self._task.kill(block=False)

    def _run(self) -> None:
        work = self._work
        while work.pending:
            wait_for(self._clock, self._urgent, GROUP_SECONDS)
            self._urgent.clear()
            try:
                added = work.log.append(list(work.pending))
            except (NotWrittenError, MaybeWrittenError, StoreError) as error:
                write(
                    _LOGGER,
                    events.LIST_FAILED,
                    job=work.job.id,
                    pending=len(work.pending),
                    problem=repr(error),
                )
                self._clock.sleep(RETRY_SECONDS)
                continue
            work.note_listed()
            write(
                _LOGGER,
                events.LISTED,
                job=work.job.id,
                added=len(added),
                listed=len(work.log.committed),
                total=len(work.items),
                groups=work.complete_groups,
            )
            self._listed()
