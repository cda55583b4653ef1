"""The partitions that one instance decides: taken, answered, handed over."""

import dataclasses
import logging
import random
import uuid
from collections.abc import Callable
from typing import Any, Final

import msgspec
from gevent.event import Event

from guavagate.clock import Clock
from guavagate.events import partitions as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.waits import wait_for
from guavagate.links import Bus, Message
from guavagate.models import InstanceId, PartitionId
from guavagate.partitions import _messages as msg
from guavagate.partitions._primary import Primary
from guavagate.partitions._record_writer import RecordWriter, SupersededError
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._state_machine import StateMachine, States
from guavagate.ports.store import ObjectStore
from guavagate.settings import PeerSettings
from guavagate.util.rendezvous import weigh

_LOGGER: Final = logging.getLogger(__name__)

StatesFactory = Callable[[PartitionId], States]

# Changes of membership wake it; this finds what they have not.
IDLE_SECONDS: Final = 1.0
# Instances that start together hear of each other within this time. Without
# it each would take all partitions, one after the other.
START_SECONDS: Final = 0.5
# Two instances that don't hear each other take a partition from each other in
# turn; longer each time, so that the commands of one side get on meanwhile.
FIRST_BACKOFF: Final = 0.3
LONGEST_BACKOFF: Final = 5.0
# A partition that was kept for so long is not being fought over any more.
FORGIVEN_SECONDS: Final = 30.0
# How long a command waits here while its partition is being taken over.
ACTIVATE_SECONDS: Final = 0.3
# An instance that is being stopped is not chosen again for so long; it is
# gone or started anew by then.
LEAVING_SECONDS: Final = 60.0


def make_id() -> str:
    """Return an id that no other call gives."""
    return uuid.uuid4().hex


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """What the partitions of one instance work with.

    Parameters
    ----------
    alive
        Returns the usable instances.
    make_id
        Gives unique ids; tests give ones that a seed replays.
    """

    me: InstanceId
    clock: Clock
    bus: Bus
    store: ObjectStore
    alive: Callable[[], list[PeerSettings]]
    safeguards: Safeguards
    decide: Callable[[str, str, str, str, dict[str, str] | None], None]
    rng: random.Random
    make_id: Callable[[], str] = make_id


class _Losses(msgspec.Struct):
    """How often a partition was lost lately; times in seconds."""

    count: int = 0
    newest: float = 0


class Hosting:
    """Takes the partitions that are this instance's, and lets others go.

    Attributes
    ----------
    changed
        Set when it should look again.
    """

    def __init__(
        self, around: Surroundings, make_states: StatesFactory, count: int
    ) -> None:
        self.around = around
        self.primaries: dict[PartitionId, Primary] = {}
        self.changed = Event()
        self._make_states = make_states
        self._count = count
        self._leaving: dict[InstanceId, float] = {}
        self._owners: dict[PartitionId, InstanceId] = {}
        self._left: dict[PartitionId, StateMachine] = {}
        self._taking: set[PartitionId] = set()
        self._not_before: dict[PartitionId, float] = {}
        self._losses: dict[PartitionId, _Losses] = {}
        self._stopping = False
        self._taken = Event()

    def register(self) -> None:
        """Answer peers' messages from now on."""
        bus = self.around.bus
        bus.register(msg.Submit, self._on_submit)
        bus.register(msg.TakeOver, self._on_take_over)
        bus.register(msg.Leave, self._on_leave)

    def run(self) -> None:
        """Look after the partitions until killed."""
        self.around.clock.sleep(START_SECONDS)
        while True:
            self.changed.clear()
            self._forget_leaving()
            if not self._stopping:
                for number in range(self._count):
                    self._look_at(PartitionId(number))
            wait_for(self.around.clock, self.changed, IDLE_SECONDS)

    def find_owner(self, partition: PartitionId) -> InstanceId | None:
        """Return who should decide for a partition, as far as known here."""
        owner = self._owners.get(partition)
        if owner is None:
            candidates = self._list_candidates()
            if not candidates:
                return None
            key = f'partition {partition}'
            owner = max(candidates, key=lambda each: weigh(key, each))
            self._owners[partition] = owner
        return owner

    def note_change(self) -> None:
        """Look again at who should decide what."""
        self._owners.clear()
        self.changed.set()

    def submit(self, request: msg.Submit) -> msg.SubmitReply:
        """Carry out a command here, or say who does."""
        primary = self.primaries.get(request.partition)
        if primary is None and self._is_mine(request.partition):
            self.changed.set()
            self._taken.clear()
            wait = min(ACTIVATE_SECONDS, request.wait)
            wait_for(self.around.clock, self._taken, wait)
            primary = self.primaries.get(request.partition)
        if primary is None:
            owner = self.find_owner(request.partition)
            return msg.SubmitReply(
                verdict=msg.Verdict.MOVED, holder=owner or InstanceId('')
            )
        return primary.submit(
            request.entry, request.wait, repeated=request.repeated
        )

    def hand_all_over(self, limit: float) -> bool:
        """Let go of everything; say whether all was answered in time."""
        self._stopping = True
        clock = self.around.clock
        self._leaving[self.around.me] = clock.now()
        self._owners.clear()
        for peer in self.around.alive():
            if peer.id != self.around.me:
                self.around.bus.send(peer.id, msg.Leave())
        end = clock.now() + limit
        tasks = [
            clock.spawn(self._hand_over, partition, end)
            for partition in sorted(self.primaries)
        ]
        for task in tasks:
            task.join()
        return all(task.value for task in tasks)

    def _list_candidates(self) -> list[InstanceId]:
        return [
            peer.id
            for peer in self.around.alive()
            if peer.id not in self._leaving
        ]

    def _forget_leaving(self) -> None:
        since = self.around.clock.now() - LEAVING_SECONDS
        for peer, at in list(self._leaving.items()):
            if at < since and not self._stopping:
                self._leaving.pop(peer)
                self._owners.clear()

    def _is_mine(self, partition: PartitionId) -> bool:
        mine = self.find_owner(partition) == self.around.me
        return mine and not self._stopping

    def _look_at(self, partition: PartitionId) -> None:
        """Take what is this instance's, let go of what no longer is."""
        primary = self.primaries.get(partition)
        if primary is not None and primary.closed:
            self._note_lost(partition)
            return
        clock = self.around.clock
        mine = self._is_mine(partition)
        if primary is not None and not mine:
            end = clock.now() + LONGEST_BACKOFF
            clock.spawn(self._hand_over, partition, end)
            return
        may = clock.now() >= self._not_before.get(partition, 0)
        if mine and primary is None and may and partition not in self._taking:
            self._taking.add(partition)
            clock.spawn(self._take, partition)

    def _take(self, partition: PartitionId) -> None:
        """Read the record, become its holder, and answer from then on."""
        around = self.around
        machine = self._left.pop(partition, None)
        if machine is None:
            machine = StateMachine(self._make_states(partition))
        keeping = RecordWriter(
            around.store,
            around.clock,
            partition,
            around.me,
            around.make_id,
            around.safeguards,
        )
        try:
            keeping.take_over(machine)
        except (StoreError, SupersededError) as error:
            self._back_off(partition)
            write(
                _LOGGER,
                events.NOT_TAKEN,
                partition=partition,
                problem=str(error),
            )
        else:
            if self._stopping:
                return
            primary = Primary(
                around.clock,
                keeping,
                machine,
                around.safeguards,
                self.changed.set,
            )
            self.primaries[partition] = primary
            self._note_taken(partition, primary)
        finally:
            self._taking.discard(partition)

    def _note_taken(self, partition: PartitionId, primary: Primary) -> None:
        reason = 'first of those alive by rendezvous hashing'
        write(_LOGGER, events.TAKEN, partition=partition, epoch=primary.epoch)
        self.around.decide(
            f'partition/{partition}', 'holder', self.around.me, reason, None
        )
        self._taken.set()

    def _note_lost(self, partition: PartitionId) -> None:
        """Forget a partition that another instance has gone on with."""
        primary = self.primaries.pop(partition)
        if not self.around.safeguards.discard:
            self._left[partition] = primary.machine
        self._back_off(partition)

    def _back_off(self, partition: PartitionId) -> None:
        now = self.around.clock.now()
        losses = self._losses.setdefault(partition, _Losses())
        if now - losses.newest > FORGIVEN_SECONDS:
            losses.count = 0
        pause = min(FIRST_BACKOFF * 2**losses.count, LONGEST_BACKOFF)
        losses.count += 1
        losses.newest = now
        pause *= self.around.rng.uniform(0.5, 1)
        self._not_before[partition] = now + pause
        self.around.clock.spawn(self._look_later, pause)

    def _look_later(self, pause: float) -> None:
        self.around.clock.sleep(pause)
        self.changed.set()

    def _hand_over(self, partition: PartitionId, end: float) -> bool:
        """Answer what was taken, let go, and tell who is next."""
        primary = self.primaries.get(partition)
        if primary is None or primary.frozen:
            return True
        whole = primary.freeze(max(end - self.around.clock.now(), 0))
        primary.close()
        self.primaries.pop(partition, None)
        owner = self.find_owner(partition)
        write(
            _LOGGER,
            events.HANDED_OVER,
            partition=partition,
            epoch=primary.epoch,
            next=owner,
            whole=whole,
        )
        if owner is not None and owner != self.around.me:
            self.around.bus.send(owner, msg.TakeOver(partition=partition))
        return whole

    def _on_submit(self, source: InstanceId, request: Any) -> Message:
        """Answer a `Submit`."""
        return self.submit(request)

    def _on_take_over(self, source: InstanceId, request: Any) -> None:
        """Take a partition that a peer has let go of."""
        self._not_before.pop(request.partition, None)
        self.changed.set()

    def _on_leave(self, source: InstanceId, request: Any) -> None:
        """Give a peer nothing more."""
        self._leaving[source] = self.around.clock.now()
        self.note_change()
