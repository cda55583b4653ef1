"""An instance that is to be emptied: it hands its work over and says so."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import StoreError

_LOGGER: Final = logging.getLogger(__name__)

RETRY_SECONDS: Final = 1.0


class Retirement:
    """Empties this instance when it is asked to leave.

    Parameters
    ----------
    hand_over
        Gives what is owned here to others; nothing is kept on a disk.
    tell
        Says that it is done; tried again while the store is away.
    """

    def __init__(
        self,
        clock: Clock,
        hand_over: Callable[[], None],
        tell: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._hand_over = hand_over
        self._tell = tell

    def start(self, path: str) -> None:
        """Leave, as the object at a path asks; returns at once."""
        self._clock.spawn(self._run, path)

    def _run(self, path: str) -> None:
        self._hand_over()
        while True:
            try:
                self._tell(path)
            except StoreError as error:
                _LOGGER.debug('%s is not told yet: %s', path, error)
                self._clock.sleep(RETRY_SECONDS)
            else:
                return
