"""Asks for the list now and then, and hands it to the membership."""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from guavagate.clock import Clock, Task
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

# The list only finds instances that nobody has told of; at 330 instances
# this is 11 reads a second of the platform's 2,000.
POLL_INTERVAL_SECONDS: Final = 30.0
# Until the first list is read; doubled after each failure.
FIRST_INTERVAL_SECONDS: Final = 1.0
_CALL_TIMEOUT_SECONDS: Final = 2.0
_OK: Final = 200

ListHandler = Callable[[Iterable[PeerSettings]], None]


class InstanceListPoller:
    """Polls in a task of its own, at jittered times.

    Parameters
    ----------
    handle_list
        Called with each list that was read, without blocking.
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
        """Begin to poll."""
        self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.kill()

    def poll(self) -> list[ListedInstance] | None:
        """Return the list, or nothing when the platform gives none."""
        call = Call(
            method='GET', path='/v1/instances', timeout=_CALL_TIMEOUT_SECONDS
        )
        try:
            answer = self._transport(call)
        except (NotSentError, NoAnswerError) as error:
            _LOGGER.debug('the instance list was not read: %s', error)
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
        entries = msgspec.json.decode(body, type=ListBody).instances
    except msgspec.MsgspecError as error:
        _LOGGER.debug('the instance list can not be read: %s', error)
        return None
    listed = []
    for entry in entries:
        try:
            listed.append(msgspec.json.decode(entry, type=ListedInstance))
        except msgspec.MsgspecError as error:
            _LOGGER.debug('an entry of the list was left out: %s', error)
    return listed
