"""Hands over the work of an instance that is to be removed."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import StoreError

_LOGGER: Final = logging.getLogger(__name__)

RETRY_SECONDS: Final = 1.0


class Retirement:
    """Hands over all work when the instance is requested to leave.

    Parameters
    ----------
    hand_over
        Hands all owned work over to other instances; none remains on disk.
    report_done
        Reports the completed handover; retried while the store is
        unavailable.
    """

    def __init__(
        self,
        clock: Clock,
        hand_over: Callable[[], None],
        report_done: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._hand_over = hand_over
        self._report_done = report_done

    def start(self, path: str) -> None:
        """Start the handover that the object at a path requests."""
        self._clock.spawn(self._run, path)

    def _run(self, path: str) -> None:
        self._hand_over()
        while True:
            try:
                self._report_done(path)
            except StoreError as error:
                _LOGGER.debug(
                    'Failed to report the retirement %s: %s', path, error
                )
                self._clock.sleep(RETRY_SECONDS)
            else:
                return
