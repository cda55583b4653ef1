"""One copy of a partition: its log's tail, its state, what it promised.

Nothing in here does I/O; the messages' handlers and the primary call it.
"""

from collections import deque
from collections.abc import Mapping
from typing import Final

import msgspec

from guavagate.models import Epoch, PartitionId
from guavagate.partitions._messages import (
    Append,
    Entry,
    Install,
    ReplicaReply,
)
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._state import (
    Command,
    CopiesLost,
    Outcome,
    ReplicatedState,
)
from guavagate.partitions._view import Member, Position, View

_TAIL_ENTRIES: Final = 512
_TAIL_BYTES: Final = 1_000_000
_RESULTS: Final = 4096
_RESULT_BYTES: Final = 4_000_000
_LINEAGE: Final = 16

States = Mapping[type[Command], ReplicatedState]


class Applied(msgspec.Struct, frozen=True, array_like=True):
    """What a command gave, kept to answer its repeats."""

    command: str
    seq: int
    outcome: bytes
    at: float


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that makes two copies equal."""

    states: tuple[bytes, ...]
    applied: tuple[Applied, ...]
    horizon: float
    lost_at: float = 0


class Replica:
    """A copy at one instance.

    Attributes
    ----------
    promised
        Messages of a lower epoch are refused.
    position
        What this copy holds.
    """

    def __init__(
        self,
        partition: PartitionId,
        me: Member,
        states: States,
        safeguards: Safeguards,
    ) -> None:
        self.partition = partition
        self.me = me
        self.promised = Epoch(0)
        self.position = Position()
        self.lineage: tuple[tuple[Epoch, int], ...] = ()
        self.touched = float(0)
        self._safeguards = safeguards
        self._kinds = {kind.__name__: kind for kind in states}
        self._states = dict(states)
        self._tail: deque[Entry] = deque()
        self._tail_bytes = 0
        self._applied: dict[str, Applied] = {}
        self._applied_bytes = 0
        self._horizon = float('-inf')
        self._lost_at = float(0)

    def state_of(self, command: type[Command]) -> ReplicatedState:
        """Return the state that takes a command."""
        return self._states[command]

    def find(self, command: str) -> Applied | None:
        """Return what a command gave, if it has been applied."""
        if not self._safeguards.deduplicate:
            return None
        return self._applied.get(command)

    def may_have_forgotten(self, at: float) -> bool:
        """Say whether a command of that time may have been dropped."""
        return at <= self._horizon

    def understands(self, kind: str) -> bool:
        """Say whether a command's kind is registered."""
        return kind in self._kinds

    def apply(self, entry: Entry) -> Applied:
        """Take the next entry of the log and apply it."""
        seq = self.position.seq + 1
        self.position = Position(self.position.synced, seq)
        self._keep(entry)
        known = self.find(entry.command)
        if known is not None:
            return known
        outcome = msgspec.msgpack.encode(self._run(entry))
        applied = Applied(entry.command, seq, outcome, entry.at)
        self._remember(applied)
        return applied

    def enter(self, epoch: Epoch) -> None:
        """Start an epoch as its primary."""
        self.promised = epoch
        self.position = Position(epoch, self.position.seq)
        line = (*self.lineage, (epoch, self.position.seq))
        self.lineage = line[-_LINEAGE:]

    def seal(self, epoch: Epoch) -> ReplicaReply:
        """Promise to accept nothing below an epoch."""
        if epoch <= self.promised:
            return self.reply(accepted=False)
        self.promised = epoch
        return self.reply(accepted=True)

    def append(self, message: Append) -> ReplicaReply:
        """Take entries that follow on what is held."""
        # A primary that was paused wakes and still believes in its epoch;
        # members sealed since then refuse it here, so it gets no majority.
        if self._is_old(message.epoch):
            return self.reply(accepted=False)
        self.promised = max(self.promised, message.epoch)
        base, entries = message.base, message.entries
        if self.position.synced == message.epoch:
            missed = self.position.seq - base.seq
            if missed < 0:
                return self.reply(accepted=False)
            entries = entries[missed:]
        elif self.position != base or not self.lineage:
            return self.reply(accepted=False)
        if message.lineage:
            self.lineage = message.lineage
        self.position = Position(message.epoch, self.position.seq)
        for entry in entries:
            self.apply(entry)
        return self.reply(accepted=True)

    def install(self, message: Install) -> ReplicaReply:
        """Replace this copy by a newer one."""
        if self._is_old(message.epoch):
            return self.reply(accepted=False)
        self.promised = max(self.promised, message.epoch)
        # A late repeat must not take back what has been acknowledged since.
        if self.position >= message.position:
            return self.reply(accepted=True)
        snapshot = msgspec.msgpack.decode(message.snapshot, type=_Snapshot)
        distinct = _distinct(self._states)
        for state, raw in zip(distinct, snapshot.states, strict=True):
            state.restore(raw)
        self._applied = {one.command: one for one in snapshot.applied}
        self._applied_bytes = sum(len(one.outcome) for one in snapshot.applied)
        self._horizon = snapshot.horizon
        self._lost_at = snapshot.lost_at
        self._tail.clear()
        self._tail_bytes = 0
        self.position = message.position
        self.lineage = message.lineage
        return self.reply(accepted=True)

    def prepare_append(
        self, held: Position, boot: str, view: View | None
    ) -> Append | None:
        """Make the message that brings a replica on, from the tail."""
        first = self.position.seq - len(self._tail)
        if held.seq < first or not self._is_prefix(held):
            return None
        count = self.position.seq - held.seq
        entries = list(self._tail)[len(self._tail) - count :]
        return Append(
            partition=self.partition,
            epoch=self.position.synced,
            base=held,
            boot=boot,
            entries=tuple(entries),
            lineage=() if view is None else self.lineage,
            view=view,
        )

    def prepare_install(self, boot: str, view: View | None) -> Install:
        """Make the message that brings a replica on, as a whole copy."""
        snapshot = _Snapshot(
            tuple(state.snapshot() for state in _distinct(self._states)),
            tuple(self._applied.values()),
            self._horizon,
            self._lost_at,
        )
        return Install(
            partition=self.partition,
            epoch=self.position.synced,
            position=self.position,
            snapshot=msgspec.msgpack.encode(snapshot),
            boot=boot,
            lineage=self.lineage,
            view=view,
        )

    def reply(self, *, accepted: bool) -> ReplicaReply:
        """Say what this copy holds."""
        return ReplicaReply(
            accepted=accepted,
            boot=self.me.boot,
            promised=self.promised,
            position=self.position,
            held=bool(self.lineage),
        )

    def _run(self, entry: Entry) -> Outcome:
        """Apply a command to its state, or the loss of copies to all."""
        if entry.kind == CopiesLost.__name__:
            return self._lose(
                msgspec.msgpack.decode(entry.payload, type=CopiesLost)
            )
        kind = self._kinds[entry.kind]
        command: Command = msgspec.msgpack.decode(entry.payload, type=kind)
        return self._states[kind].apply(command)

    def _lose(self, lost: CopiesLost) -> Outcome:
        """Tell every state of a loss, once: each new primary repeats it."""
        if lost.at > self._lost_at:
            self._lost_at = lost.at
            for state in _distinct(self._states):
                state.apply(lost)
        return Outcome()

    def _is_old(self, epoch: Epoch) -> bool:
        """Say whether a message's epoch is below the promised one."""
        return self._safeguards.fence and epoch < self.promised

    def _is_prefix(self, held: Position) -> bool:
        """Say whether this log goes on from what another copy holds."""
        ends = [start for _, start in self.lineage[1:]]
        ends.append(self.position.seq)
        return any(
            epoch == held.synced and held.seq <= end
            for (epoch, _), end in zip(self.lineage, ends, strict=True)
        )

    def _keep(self, entry: Entry) -> None:
        """Keep the entry for replicas that lag a little."""
        self._tail.append(entry)
        self._tail_bytes += len(entry.payload)
        while len(self._tail) > _TAIL_ENTRIES or self._tail_bytes > _TAIL_BYTES:
            self._tail_bytes -= len(self._tail.popleft().payload)

    def _remember(self, applied: Applied) -> None:
        """Keep an outcome; raise the horizon by what is dropped for it."""
        self._applied[applied.command] = applied
        self._applied_bytes += len(applied.outcome)
        while (
            len(self._applied) > _RESULTS or self._applied_bytes > _RESULT_BYTES
        ):
            oldest = self._applied.pop(next(iter(self._applied)))
            self._applied_bytes -= len(oldest.outcome)
            self._horizon = max(self._horizon, oldest.at)


def _distinct(states: States) -> list[ReplicatedState]:
    """Return each state once, in the order of registration."""
    return list({id(state): state for state in states.values()}.values())
