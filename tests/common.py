"""A small fleet of fake instances with a counter in its partitions."""

import msgspec

from guavagate.clock import Task
from guavagate.measure import outcomes
from guavagate.partitions import (
    Command,
    CopiesLost,
    Outcome,
    ReplicatedState,
)
from guavagate.partitions.replicated import Safeguards


class Add(Command, frozen=True, kw_only=True):
    """Add to a counter."""

    key: str
    amount: int = 1


class Total(Outcome, frozen=True, kw_only=True):
    """What the counter shows then."""

    total: int


class Counters:
    """Counts by key; a `ReplicatedState`."""

    def __init__(self) -> None:
        self.totals: dict[str, int] = {}
        self.lost: list[float] = []

    def apply(self, command: Command) -> Outcome:
        """Add."""
        if isinstance(command, CopiesLost):
            self.lost.append(command.at)
            return Outcome()
        assert isinstance(command, Add)
        total = self.totals.get(command.key, 0) + command.amount
        self.totals[command.key] = total
        return Total(total=total)

    def snapshot(self) -> bytes:
        """Return all counters."""
        return msgspec.msgpack.encode((self.totals, self.lost))

    def restore(self, snapshot: bytes) -> None:
        """Replace all counters."""
        self.totals, self.lost = msgspec.msgpack.decode(snapshot)


def make_counters(partition: int) -> dict[type[Command], ReplicatedState]:
    """Make the states of one partition."""
    return {Add: Counters()}


class Fleet(outcomes.Fleet):
    """A fleet that counts."""

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
        """Submit an addition at an instance."""
        command = Add(at=self.clock.wall(), key=key, amount=amount)
        clock = self.runtimes[name].clock
        return clock.spawn(
            self.partitions[name].submit, key, command, Total, timeout
        )

    def total(self, name: str, key: str = 'k', timeout: float = 5) -> int:
        """Return a counter, as asked for at an instance."""
        task = self.add(name, key, timeout, 0)
        self.clock.run_until(task.ready, timeout + 1)
        return int(task.get(block=False).total)

    def primary(self) -> str:
        """Return the name of the running primary, or nothing."""
        deciding = self.primaries()
        return deciding[0] if deciding else ''
