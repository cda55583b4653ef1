"""Logs each unreadable object of the store once.

Other writers may store an object with any content under the prefixes that
guavagate reads, and an upstream's registration changes with each heartbeat. So
that one bad object doesn't fill the log, a path is logged again only if its
problem changes or if it was readable in between. The event's counter counts
the logged lines.
"""

import logging
from collections import OrderedDict
from typing import Final

from guavagate.events import forwarding as events
from guavagate.events import write

_LOGGER: Final = logging.getLogger(__name__)

# A few prefixes with a handful of bad objects each are expected; logging an
# evicted path twice does no harm.
MAX_PATHS: Final = 1000


class UnreadableObjects:
    """The unreadable objects that have been logged."""

    def __init__(self) -> None:
        self._reported: OrderedDict[str, str] = OrderedDict()

    def report(self, path: str, problem: str) -> None:
        """Log an unreadable object unless this problem was logged."""
        if self._reported.get(path) == problem:
            return
        self._reported[path] = problem
        self._reported.move_to_end(path)
        while len(self._reported) > MAX_PATHS:
            self._reported.popitem(last=False)
        write(_LOGGER, events.OBJECT_UNREADABLE, path=path, problem=problem)

    def forget(self, path: str) -> None:
        """Forget an object that was read or deleted."""
        self._reported.pop(path, None)
