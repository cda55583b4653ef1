"""Partitions without replicas: one instance alone, and unit tests."""

import msgspec

from guavagate.models import Epoch, InstanceId
from guavagate.partitions._state import (
    Command,
    Outcome,
    ReplicatedState,
    Result,
)


class LocalPartitions:
    """Applies every command here; the baseline without replication."""

    def __init__(
        self,
        me: InstanceId,
        states: dict[type[Command], ReplicatedState],
    ) -> None:
        self._me = me
        self._states = states

    def submit(
        self,
        key: str,
        command: Command,
        outcome: type[Result],
        timeout: float,
    ) -> Result:
        """Apply the command to the one copy of the state."""
        answer: Outcome = self._states[type(command)].apply(command)
        return msgspec.convert(answer, outcome, from_attributes=True)

    def primary_of(self, key: str) -> tuple[InstanceId, Epoch] | None:
        """Return this instance."""
        return self._me, Epoch(1)
