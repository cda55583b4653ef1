"""Partitions without a store: one instance alone, and unit tests."""

from guavagate.models import Epoch
from guavagate.partitions._state import Command, PartitionState, Result


class LocalPartitions:
    """Applies every command here; the baseline without a record."""

    def __init__(self, states: dict[type[Command], PartitionState]) -> None:
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

    def submit_here(
        self,
        key: str,
        epoch: Epoch,
        command: Command,
        outcome: type[Result],
    ) -> Result:
        """Apply the command; there is no other instance."""
        return self.submit(key, command, outcome, 0)
