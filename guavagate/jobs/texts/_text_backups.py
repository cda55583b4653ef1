"""Backs up the partial texts of an owner's jobs, and hands them over.

A text is durable only once it is committed. Until then its replicas at the
possible successors and the snapshot on the owner's disk save most of it. If all
of these are lost, the checkpoint in the store is left.
"""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.jobs._work import JobWork
from guavagate.jobs.texts._checkpoints import (
    CHECKPOINT_INTERVAL_SECONDS,
    TextCheckpoints,
)
from guavagate.jobs.texts._replicas import (
    REPLICATION_INTERVAL_SECONDS,
    TextReplicas,
)
from guavagate.jobs.texts._snapshots import TextSnapshots
from guavagate.models import InstanceId, ServiceId

_LOGGER: Final = logging.getLogger(__name__)

# The longest texts are replicated twice as often, as a step waits for them.
# With 144 running texts of short events, this takes a tenth more bytes.
LONGEST_COUNT: Final = 12
# How long after its return an owner looks for texts that its successor
# generated. Runs that are interrupted for them end within milliseconds.
ADOPTION_SECONDS: Final = 1.0


def _always(work: JobWork, peer: InstanceId) -> bool:
    return True


class TextBackups:
    """The replicas, snapshots and checkpoints of one service's texts.

    Parameters
    ----------
    list_open
        Returns the open jobs that this instance works on.
    list_holders
        Returns the instances that get replicas.
    on_returned
        Called when an instance that worked on the jobs in the place of this
        one has returned them; must not block.
    may_send
        Returns whether an instance may get the texts of a job.
    """

    def __init__(
        self,
        service: ServiceId,
        clock: Clock,
        replicas: TextReplicas,
        snapshots: TextSnapshots,
        checkpoints: TextCheckpoints,
        list_open: Callable[[], list[JobWork]],
        list_holders: Callable[[], list[InstanceId]],
        on_returned: Callable[[], None],
        may_send: Callable[[JobWork, InstanceId], bool] = _always,
    ) -> None:
        self._may_send = may_send
        self._service = service
        self._clock = clock
        self._replicas = replicas
        self._snapshots = snapshots
        self._checkpoints = checkpoints
        self._list_open = list_open
        self._list_holders = list_holders
        self._on_returned = on_returned
        self._adopt_until = float('-inf')
        self._tasks: list[Task] = []
        self._sending: dict[InstanceId, Task] = {}
        replicas.subscribe_handover(service, self._handle_return)

    def start(self) -> None:
        """Start to back up the texts of the open jobs."""
        self._snapshots.load(self._service)
        self._tasks = [
            self._clock.spawn(self._back_up),
            self._clock.spawn(self._write_checkpoints),
        ]

    def stop(self) -> None:
        """Stop backing up texts."""
        for task in (*self._tasks, *self._sending.values()):
            task.kill(block=False)
        self._tasks = []
        self._sending = {}

    def restore(self, work: JobWork) -> None:
        """Restore the texts of a job before it is worked on."""
        self._replicas.restore(work)
        self._snapshots.restore(work)
        self._checkpoints.restore(work)

    def hand_over(self, peer: InstanceId) -> None:
        """Send all texts to the instance that works on the jobs from now on."""
        self._clock.spawn(
            self._replicas.hand_over,
            self._service,
            [each for each in self._list_open() if self._may_send(each, peer)],
            peer,
            self._clock,
        )

    def adopt(self, works: list[JobWork]) -> None:
        """Adopt the texts that were returned with the jobs.

        Called before items are started: a text must not be replaced while a
        run appends to it, so such a run is cancelled first.
        """
        if self._clock.now() > self._adopt_until:
            return
        adopted = sum(self._replicas.adopt(work) for work in works)
        if adopted:
            write(
                _LOGGER,
                events.TEXTS_ADOPTED,
                service=self._service,
                texts=adopted,
            )

    def _handle_return(self) -> None:
        self._adopt_until = self._clock.now() + ADOPTION_SECONDS
        self._on_returned()

    def _back_up(self) -> None:
        while True:
            for longest in (LONGEST_COUNT, None):
                self._clock.sleep(REPLICATION_INTERVAL_SECONDS / 2)
                works = self._list_open()
                if works:
                    self._replicate(works, longest)
            if works:
                self._snapshots.save(self._service, works)

    def _write_checkpoints(self) -> None:
        while True:
            self._clock.sleep(CHECKPOINT_INTERVAL_SECONDS)
            self._checkpoints.save(self._list_open())

    def _replicate(self, works: list[JobWork], longest: int | None) -> None:
        """Send replicas to each holder, whether or not another answers."""
        for peer in self._list_holders():
            running = self._sending.get(peer)
            if running is None or running.dead:
                sent = [each for each in works if self._may_send(each, peer)]
                self._sending[peer] = self._clock.spawn(
                    self._replicas.send, self._service, sent, peer, longest
                )
