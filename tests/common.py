"""A small fleet of fake instances with replicated partitions."""

import random
from collections.abc import Callable
from typing import Any

import msgspec

from guavagate.clock import Task
from guavagate.measure.fakes import FakeTeams, NoDecisions, World
from guavagate.models import InstanceId
from guavagate.partitions import (
    Command,
    CopiesLost,
    LocalPartitions,
    Outcome,
    ReplicatedState,
)
from guavagate.partitions.replicated import ReplicatedPartitions, Safeguards
from guavagate.runtime import Runtime


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


class Fleet:
    """Instances a, b, c, ... in three availability zones."""

    def __init__(
        self,
        names: str = 'abc',
        seed: int = 0,
        *,
        partitions: int = 1,
        make_states: Callable[..., Any] = make_counters,
        safeguards: Safeguards | None = None,
    ) -> None:
        self.world = World(seed)
        self.clock = self.world.clock
        self.partitions: dict[str, ReplicatedPartitions] = {}
        self.runtimes: dict[str, Runtime] = {}
        self._count = partitions
        self._make_states = make_states
        self._safeguards = safeguards
        for name in names:
            self.world.add(name, f'zone-{(ord(name) - ord("a")) % 3}')
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start the partitions of an instance that the world has."""
        world, instance = self.world, InstanceId(name)
        runtime = Runtime(
            settings=world.settings_of(name),
            clock=world.hosts[instance].clock,
            bus=world.bus(name),
            store=world.store_of(name),
            members=world.members[instance],
            teams=FakeTeams(),
            partitions=LocalPartitions(instance, {}),
            decisions=NoDecisions(),
        )
        partitions = ReplicatedPartitions(
            runtime,
            self._make_states,
            partitions=self._count,
            safeguards=self._safeguards,
            rng=random.Random(world.random.random()),
        )
        runtime.partitions = partitions
        self.runtimes[name] = runtime
        self.partitions[name] = partitions
        partitions.start()

    def restart(self, name: str) -> None:
        """Start a killed instance again, with an empty memory."""
        zone = self.world.peers[InstanceId(name)].availability_zone
        self.world.add(name, zone)
        self.start(name)

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

    def primary(self, key: str = 'k') -> str:
        """Return the name of the primary that decides now."""
        deciding = [
            name
            for name, one in self.partitions.items()
            if one.decided_here()
            and not self.world.hosts[InstanceId(name)].dead
            and not self.world.hosts[InstanceId(name)].paused
        ]
        return deciding[0] if deciding else ''
