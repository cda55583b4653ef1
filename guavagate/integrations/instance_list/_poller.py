"""Polls the platform's instance list for the membership."""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from guavagate.clock import Clock, Task
from guavagate.helpers.decoding import decode_json
from guavagate.integrations.instance_list.models import (
    ListBody,
    ListedInstance,
)
from guavagate.integrations.object_api.models import (
    Call,
    NoAnswerError,
    NotSentError,
    Transport,
)
from guavagate.settings import PeerSettings

_LOGGER: Final = logging.getLogger(__name__)

# The list only discovers instances that no member has announced. With 330
# instances this interval takes 11 of the platform's 2,000 reads a second.
POLL_INTERVAL_SECONDS: Final = 30.0
# Until the first list has been read; doubled after each failure.
FIRST_INTERVAL_SECONDS: Final = 1.0
_CALL_TIMEOUT_SECONDS: Final = 2.0
_OK: Final = 200

ListHandler = Callable[[Iterable[PeerSettings]], None]


class InstanceListPoller:
    """Polls the list in its own task, with jitter.

    Parameters
    ----------
    handle_list
        Called with each list that is not empty; must not block.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        handle_list: ListHandler,
        rng: random.Random | None = None,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._handle_list = handle_list
        self._random = rng or random.Random()
        self._task: Task | None = None

    def start(self) -> None:
        """Start to poll."""
        self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.kill()

    def poll(self) -> list[ListedInstance] | None:
        """Return the list, or `None` if it cannot be read."""
        call = Call(
            method='GET', path='/v1/instances', timeout=_CALL_TIMEOUT_SECONDS
        )
        try:
            answer = self._transport(call)
        except (NotSentError, NoAnswerError) as error:
            _LOGGER.debug('Failed to read the instance list: %s', error)
            return None
        if answer.status != _OK:
            return None
        return _decode(answer.body)

    def _run(self) -> None:
        interval = FIRST_INTERVAL_SECONDS
        while True:
            listed = self.poll()
            interval = min(interval * 2, POLL_INTERVAL_SECONDS)
            if listed:
                self._handle_list(each.to_peer() for each in listed)
                interval = POLL_INTERVAL_SECONDS
            self._clock.sleep(interval * self._random.uniform(0.75, 1.25))


def _decode(body: bytes) -> list[ListedInstance] | None:
    try:
        entries = decode_json(body, ListBody).instances
    except msgspec.MsgspecError as error:
        _LOGGER.debug('The instance list is malformed: %s', error)
        return None
    listed = []
    for entry in entries:
        try:
            listed.append(decode_json(entry, ListedInstance))
        except msgspec.MsgspecError as error:
            _LOGGER.debug(
                'Skipped a malformed entry of the instance list: %s', error
            )
    return listed
