"""Hands over the work of an instance that is to be removed."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import StoreError
from guavagate.helpers.mirror import Mirror
from guavagate.models import InstanceId
from guavagate.ports.store import ObjectStore, StoredObject

_LOGGER: Final = logging.getLogger(__name__)

RETRY_SECONDS: Final = 1.0


class Retirement:
    """Hands over all work when an object of the store names this instance.

    Parameters
    ----------
    prefix
        The prefix of the objects, each named as an instance.
    hand_over
        Hands all owned work over to other instances; none remains on disk.
    report_done
        Reports the completed handover to the object at a path; retried while
        the store is unavailable.
    """

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        prefix: str,
        me: InstanceId,
        hand_over: Callable[[], None],
        report_done: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._me = me
        self._hand_over = hand_over
        self._report_done = report_done
        self._mirror = Mirror(store, clock, prefix, self._put)

    def start(self) -> None:
        """Start to wait for a request."""
        self._mirror.start()

    def _put(self, name: str, stored: StoredObject) -> None:
        if name == self._me:
            self._clock.spawn(self._run, stored.path)

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
