"""Takes over, serves and hands over the partitions of one instance.

A partition's owner is the instance that should lead it, by the membership; its
holder is the instance that its record names.
"""

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

# Member changes trigger a scan at once; this interval covers missed events.
SCAN_INTERVAL_SECONDS: Final = 1.0
# Instances that start together discover each other within this time. Without
# the delay each of them would take over all partitions in turn.
START_DELAY_SECONDS: Final = 0.5
# Two instances that cannot reach each other take a partition from each other
# in turn. Growing pauses let commands on one side progress in between.
INITIAL_BACKOFF_SECONDS: Final = 0.3
MAX_BACKOFF_SECONDS: Final = 5.0
# Without a loss for this long, a partition is no longer contended.
BACKOFF_RESET_SECONDS: Final = 30.0
# Maximum wait of a command while this instance takes over its partition.
TAKE_OVER_WAIT_SECONDS: Final = 0.3
# A stopping instance is not chosen as owner for this long; by then it is gone
# or has restarted.
LEAVING_TTL_SECONDS: Final = 60.0


def make_id() -> str:
    """Return a unique id."""
    return uuid.uuid4().hex


@dataclasses.dataclass(frozen=True)
class HostContext:
    """Dependencies of the partitions of one instance.

    Parameters
    ----------
    list_alive
        Returns the usable instances.
    record_decision
        Records a decision; see `runtime.DecisionLog`.
    make_id
        Returns a unique id; tests use ids that are reproducible from a seed.
    """

    me: InstanceId
    clock: Clock
    bus: Bus
    store: ObjectStore
    list_alive: Callable[[], list[PeerSettings]]
    safeguards: Safeguards
    record_decision: Callable[[str, str, str, str, dict[str, str] | None], None]
    rng: random.Random
    make_id: Callable[[], str] = make_id


class _Losses(msgspec.Struct):
    """Recent losses of a partition; times in seconds."""

    count: int = 0
    last_at: float = 0


class PartitionHost:
    """Takes over the partitions owned here and releases the others.

    Attributes
    ----------
    rescan_needed
        Set to trigger a scan of all partitions.
    """

    def __init__(
        self, context: HostContext, make_states: StatesFactory, count: int
    ) -> None:
        self.context = context
        self.primaries: dict[PartitionId, Primary] = {}
        self.rescan_needed = Event()
        self._make_states = make_states
        self._count = count
        self._leaving: dict[InstanceId, float] = {}
        self._owners: dict[PartitionId, InstanceId] = {}
        self._stale_machines: dict[PartitionId, StateMachine] = {}
        self._taking_over: set[PartitionId] = set()
        self._retry_at: dict[PartitionId, float] = {}
        self._losses: dict[PartitionId, _Losses] = {}
        self._stopping = False
        self._activated = Event()

    def register(self) -> None:
        """Register the handlers of peers' messages."""
        bus = self.context.bus
        bus.register(msg.Submit, self._on_submit)
        bus.register(msg.TakeOver, self._on_take_over)
        bus.register(msg.Leave, self._on_leave)

    def run(self) -> None:
        """Scan the partitions periodically until killed."""
        self.context.clock.sleep(START_DELAY_SECONDS)
        while True:
            self.rescan_needed.clear()
            self._expire_leaving()
            if not self._stopping:
                for number in range(self._count):
                    self._check_partition(PartitionId(number))
            wait_for(
                self.context.clock, self.rescan_needed, SCAN_INTERVAL_SECONDS
            )

    def find_owner(self, partition: PartitionId) -> InstanceId | None:
        """Return the instance that should lead a partition, if known."""
        owner = self._owners.get(partition)
        if owner is None:
            candidates = self._list_candidates()
            if not candidates:
                return None
            key = f'partition {partition}'
            owner = max(candidates, key=lambda each: weigh(key, each))
            self._owners[partition] = owner
        return owner

    def refresh_owners(self) -> None:
        """Recompute the owners of all partitions."""
        self._owners.clear()
        self.rescan_needed.set()

    def submit(self, request: msg.Submit) -> msg.SubmitReply:
        """Apply a command here or return the partition's owner."""
        primary = self.primaries.get(request.partition)
        if primary is None and self._is_owned_here(request.partition):
            self.rescan_needed.set()
            self._activated.clear()
            wait = min(TAKE_OVER_WAIT_SECONDS, request.wait)
            wait_for(self.context.clock, self._activated, wait)
            primary = self.primaries.get(request.partition)
        if primary is None:
            owner = self.find_owner(request.partition)
            return msg.SubmitReply(
                verdict=msg.Verdict.MOVED, holder=owner or InstanceId('')
            )
        return primary.submit(
            request.entry, request.wait, repeated=request.repeated
        )

    def hand_over_all(self, limit: float) -> bool:
        """Release all partitions; return whether all commands got a reply."""
        self._stopping = True
        clock = self.context.clock
        self._leaving[self.context.me] = clock.now()
        self._owners.clear()
        for peer in self.context.list_alive():
            if peer.id != self.context.me:
                self.context.bus.send(peer.id, msg.Leave())
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
            for peer in self.context.list_alive()
            if peer.id not in self._leaving
        ]

    def _expire_leaving(self) -> None:
        cutoff = self.context.clock.now() - LEAVING_TTL_SECONDS
        for peer, at in list(self._leaving.items()):
            if at < cutoff and not self._stopping:
                self._leaving.pop(peer)
                self._owners.clear()

    def _is_owned_here(self, partition: PartitionId) -> bool:
        mine = self.find_owner(partition) == self.context.me
        return mine and not self._stopping

    def _check_partition(self, partition: PartitionId) -> None:
        """Take over an owned partition or hand over one owned elsewhere."""
        primary = self.primaries.get(partition)
        if primary is not None and primary.closed:
            self._release_lost(partition)
            return
        clock = self.context.clock
        mine = self._is_owned_here(partition)
        if primary is not None and not mine:
            end = clock.now() + MAX_BACKOFF_SECONDS
            clock.spawn(self._hand_over, partition, end)
            return
        may_retry = clock.now() >= self._retry_at.get(partition, 0)
        if (
            mine
            and primary is None
            and may_retry
            and partition not in self._taking_over
        ):
            self._taking_over.add(partition)
            clock.spawn(self._take_over, partition)

    def _take_over(self, partition: PartitionId) -> None:
        """Take over the record and start the primary."""
        context = self.context
        machine = self._stale_machines.pop(partition, None)
        if machine is None:
            machine = StateMachine(self._make_states(partition))
        writer = RecordWriter(
            context.store,
            context.clock,
            partition,
            context.me,
            context.make_id,
            context.safeguards,
        )
        try:
            writer.take_over(machine)
        except (StoreError, SupersededError) as error:
            self._back_off(partition)
            write(
                _LOGGER,
                events.TAKEOVER_FAILED,
                partition=partition,
                problem=str(error),
            )
        else:
            if self._stopping:
                return
            primary = Primary(
                context.clock,
                writer,
                machine,
                context.safeguards,
                self.rescan_needed.set,
            )
            self.primaries[partition] = primary
            self._record_taken(partition, primary)
        finally:
            self._taking_over.discard(partition)

    def _record_taken(self, partition: PartitionId, primary: Primary) -> None:
        reason = 'first of those alive by rendezvous hashing'
        write(
            _LOGGER, events.TAKEN_OVER, partition=partition, epoch=primary.epoch
        )
        self.context.record_decision(
            f'partition/{partition}', 'holder', self.context.me, reason, None
        )
        self._activated.set()

    def _release_lost(self, partition: PartitionId) -> None:
        """Remove a partition that another instance has taken over."""
        primary = self.primaries.pop(partition)
        if not self.context.safeguards.discard:
            self._stale_machines[partition] = primary.machine
        self._back_off(partition)

    def _back_off(self, partition: PartitionId) -> None:
        now = self.context.clock.now()
        losses = self._losses.setdefault(partition, _Losses())
        if now - losses.last_at > BACKOFF_RESET_SECONDS:
            losses.count = 0
        pause = min(
            INITIAL_BACKOFF_SECONDS * 2**losses.count, MAX_BACKOFF_SECONDS
        )
        losses.count += 1
        losses.last_at = now
        pause *= self.context.rng.uniform(0.5, 1)
        self._retry_at[partition] = now + pause
        self.context.clock.spawn(self._rescan_later, pause)

    def _rescan_later(self, pause: float) -> None:
        self.context.clock.sleep(pause)
        self.rescan_needed.set()

    def _hand_over(self, partition: PartitionId, end: float) -> bool:
        """Finish accepted commands, release, and notify the next owner."""
        primary = self.primaries.get(partition)
        if primary is None or primary.frozen:
            return True
        answered_all = primary.freeze(max(end - self.context.clock.now(), 0))
        primary.close()
        self.primaries.pop(partition, None)
        owner = self.find_owner(partition)
        write(
            _LOGGER,
            events.RELEASED,
            partition=partition,
            epoch=primary.epoch,
            next=owner,
            whole=answered_all,
        )
        if owner is not None and owner != self.context.me:
            self.context.bus.send(owner, msg.TakeOver(partition=partition))
        return answered_all

    def _on_submit(self, source: InstanceId, request: Any) -> Message:
        """Handle a `Submit`."""
        return self.submit(request)

    def _on_take_over(self, source: InstanceId, request: Any) -> None:
        """Take over a partition that a peer has released."""
        self._retry_at.pop(request.partition, None)
        self.rescan_needed.set()

    def _on_leave(self, source: InstanceId, request: Any) -> None:
        """Assign no more partitions to a stopping peer."""
        self._leaving[source] = self.context.clock.now()
        self.refresh_owners()
