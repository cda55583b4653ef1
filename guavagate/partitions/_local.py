"""Partitions without a store, for a single instance and unit tests."""

from guavagate.models import Epoch
from guavagate.partitions._state import Command, PartitionState, Result


class LocalPartitions:
    """Applies every command in this process; stores no record."""

    def __init__(self, states: dict[type[Command], PartitionState]) -> None:
        self._states = states

    def submit(
        self,
        key: str,
        command: Command,
        outcome: type[Result],
        timeout: float,
    ) -> Result:
        """Apply the command to the local state."""
        answer = self._states[type(command)].apply(command)
        if not isinstance(answer, outcome):
            raise TypeError(f'{answer!r} is not a {outcome.__name__}')
        return answer

    def submit_here(
        self,
        key: str,
        epoch: Epoch,
        command: Command,
        outcome: type[Result],
    ) -> Result:
        """Apply the command; no other instance exists."""
        return self.submit(key, command, outcome, 0)
