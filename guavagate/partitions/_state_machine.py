"""The state machine of one partition, with the outcomes of its commands.

Nothing in this module does I/O.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

from guavagate.exceptions import StoreError
from guavagate.helpers.decoding import decode_msgpack
from guavagate.partitions._messages import Entry
from guavagate.partitions._state import Command, PartitionState, SupportsPreview

_MAX_OUTCOMES: Final = 4096
_MAX_OUTCOME_BYTES: Final = 4_000_000

States = Mapping[type[Command], PartitionState]


class AppliedCommand(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a command, stored to answer its repeats."""

    command_id: str
    outcome: bytes
    at: float


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state of a state machine."""

    states: tuple[bytes, ...]
    applied: tuple[AppliedCommand, ...]
    horizon: float


class StateMachine:
    """Applies entries in order and stores their outcomes."""

    def __init__(self, states: States) -> None:
        self._kinds = {kind.__name__: kind for kind in states}
        self._states = dict(states)
        self._applied: dict[str, AppliedCommand] = {}
        self._applied_bytes = 0
        # Outcomes of commands up to this time may have been dropped.
        self._horizon = float('-inf')

    def find_state(self, command: type[Command]) -> PartitionState:
        """Return the state that handles a command."""
        return self._states[command]

    def find_applied(self, command: str) -> AppliedCommand | None:
        """Return the stored outcome of a command, if any."""
        return self._applied.get(command)

    def may_have_forgotten(self, at: float) -> bool:
        """Return whether an outcome from that time may have been dropped."""
        return at <= self._horizon

    def is_registered(self, kind: str) -> bool:
        """Return whether a state handles this kind of command."""
        return kind in self._kinds

    def preview(self, entry: Entry) -> bytes | None:
        """Return the outcome of an entry that needs no record, else `None`."""
        kind = self._kinds[entry.kind]
        state = self._states[kind]
        if not isinstance(state, SupportsPreview):
            return None
        command = decode_msgpack(entry.payload, kind)
        outcome = state.preview(command)
        return None if outcome is None else msgspec.msgpack.encode(outcome)

    def apply(self, entry: Entry) -> AppliedCommand:
        """Apply an entry and store its outcome."""
        kind = self._kinds[entry.kind]
        command = decode_msgpack(entry.payload, kind)
        outcome = msgspec.msgpack.encode(self._states[kind].apply(command))
        applied = AppliedCommand(entry.command_id, outcome, entry.at)
        self._store_outcome(applied)
        return applied

    def apply_all(self, entries: Iterable[Entry]) -> None:
        """Apply entries from the record.

        Raises
        ------
        StoreError
            An entry has a kind that only a later release supports.
        """
        for entry in entries:
            if not self.is_registered(entry.kind):
                raise StoreError(
                    f'the record contains {entry.kind},'
                    ' which this release does not know',
                    'stop this instance, or run the release that wrote it',
                )
            self.apply(entry)

    def snapshot(self) -> bytes:
        """Return the complete state."""
        states = tuple(
            state.snapshot() for state in self._list_distinct_states()
        )
        applied = tuple(self._applied.values())
        return msgspec.msgpack.encode(_Snapshot(states, applied, self._horizon))

    def restore(self, raw: bytes) -> None:
        """Replace the complete state with a snapshot."""
        snapshot = decode_msgpack(raw, _Snapshot)
        pairs = zip(self._list_distinct_states(), snapshot.states, strict=True)
        for state, part in pairs:
            state.restore(part)
        self._applied = {each.command_id: each for each in snapshot.applied}
        self._applied_bytes = sum(
            len(each.outcome) for each in snapshot.applied
        )
        self._horizon = snapshot.horizon

    def _list_distinct_states(self) -> list[PartitionState]:
        """Return each state once, in registration order."""
        found = {id(state): state for state in self._states.values()}
        return list(found.values())

    def _store_outcome(self, applied: AppliedCommand) -> None:
        """Store an outcome; drop the oldest ones and advance the horizon."""
        self._applied[applied.command_id] = applied
        self._applied_bytes += len(applied.outcome)
        while (
            len(self._applied) > _MAX_OUTCOMES
            or self._applied_bytes > _MAX_OUTCOME_BYTES
        ):
            oldest = self._applied.pop(next(iter(self._applied)))
            self._applied_bytes -= len(oldest.outcome)
            self._horizon = max(self._horizon, oldest.at)
