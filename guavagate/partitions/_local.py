"""Partitions without replicas: one instance alone, and unit tests."""

from guavagate.models import Epoch, InstanceId
from guavagate.partitions._state import Command, ReplicatedState, Result


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
        answer = self._states[type(command)].apply(command)
        if not isinstance(answer, outcome):
            raise TypeError(f'{answer!r} is not a {outcome.__name__}')
        return answer

    def primary_of(self, key: str) -> tuple[InstanceId, Epoch] | None:
        """Return this instance."""
        return self._me, Epoch(1)
