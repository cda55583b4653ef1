"""Objects of the store that can not be read, told once each.

Other writers may put an object of any content under the kinds that are read
here, and an upstream's registration changes with each heartbeat. One bad
object must not fill the log: each path is told once, and again only when its
problem is another or it could be read in between. The counter of the event
counts what was told.
"""

import logging
from collections import OrderedDict
from typing import Final

from guavagate.events import forwarding as events
from guavagate.events import write

_LOGGER: Final = logging.getLogger(__name__)

# Of a few kinds, each with a handful of bad objects; an older one that is
# told twice does no harm.
MAX_PATHS: Final = 1000


class UnreadableObjects:
    """Which objects were told to be unreadable."""

    def __init__(self) -> None:
        self._told: OrderedDict[str, str] = OrderedDict()

    def report(self, path: str, problem: str) -> None:
        """Tell that an object can not be read, unless that is known."""
        if self._told.get(path) == problem:
            return
        self._told[path] = problem
        self._told.move_to_end(path)
        while len(self._told) > MAX_PATHS:
            self._told.popitem(last=False)
        write(_LOGGER, events.OBJECT_UNREADABLE, path=path, problem=problem)

    def forget(self, path: str) -> None:
        """Note that an object was read, or is gone."""
        self._told.pop(path, None)
