"""A small fleet of fake instances whose partitions store counters."""

from guavagate.clock import Task
from guavagate.measure import outcomes
from guavagate.measure.outcomes import Add, Counters, Total
from guavagate.partitions import Command, PartitionState
from guavagate.partitions.stored import Safeguards


def make_counters(partition: int) -> dict[type[Command], PartitionState]:
    """Create the states of one partition."""
    return {Add: Counters()}


class Fleet(outcomes.Fleet):
    """A fleet with counter partitions."""

    def __init__(
        self,
        names: str = 'abc',
        seed: int = 0,
        *,
        partitions: int = 1,
        safeguards: Safeguards | None = None,
    ) -> None:
        super().__init__(
            names,
            seed,
            make_counters,
            partitions=partitions,
            safeguards=safeguards,
        )

    def add(
        self, name: str, key: str = 'k', timeout: float = 5, amount: int = 1
    ) -> Task:
        """Submit an addition to an instance."""
        command = Add(at=self.clock.wall(), key=key, amount=amount)
        clock = self.runtimes[name].clock
        return clock.spawn(
            self.partitions[name].submit, key, command, Total, timeout
        )

    def total(self, name: str, key: str = 'k', timeout: float = 5) -> int:
        """Query a counter's total through an instance."""
        task = self.add(name, key, timeout, 0)
        self.clock.run_until(task.ready, timeout + 1)
        return int(task.get(block=False).total)

    def primary(self) -> str:
        """Return the name of the running primary, or an empty string."""
        primaries = self.list_primaries()
        return primaries[0] if primaries else ''
