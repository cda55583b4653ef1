"""Fake instances with stored partitions and whatever runs on them."""

import random
from collections.abc import Callable
from typing import Any, TypeAlias

from guavagate.measure.fakes import FakeTeams, Host, NoDecisions, World
from guavagate.models import InstanceId
from guavagate.partitions import LocalPartitions
from guavagate.partitions.stored import Safeguards, StoredPartitions
from guavagate.runtime import Runtime

MakeStates: TypeAlias = Callable[[Any], dict[Any, Any]]
StartOn: TypeAlias = Callable[[Runtime], None]


def _start_nothing(runtime: Runtime) -> None:
    """Start nothing besides the partitions."""


class Fleet:
    """Instances a, b, c, ... in three availability zones.

    Parameters
    ----------
    start_on
        Starts further components on an instance, whenever it is started.
    """

    def __init__(
        self,
        names: str,
        seed: int,
        make_states: MakeStates,
        *,
        partitions: int = 1,
        safeguards: Safeguards | None = None,
        start_on: StartOn = _start_nothing,
    ) -> None:
        self.world = World(seed)
        self.clock = self.world.clock
        self.partitions: dict[str, StoredPartitions] = {}
        self.runtimes: dict[str, Runtime] = {}
        self.count = partitions
        self._make_states = make_states
        self._safeguards = safeguards
        self._start_on = start_on
        for name in names:
            self.world.add(name, f'zone-{(ord(name) - ord("a")) % 3}')
        for name in names:
            self._start(name)

    def host(self, name: str) -> Host:
        """Return an instance's host."""
        return self.world.hosts[InstanceId(name)]

    def restart(self, name: str) -> None:
        """Start a killed instance again, with an empty memory."""
        zone = self.world.peers[InstanceId(name)].availability_zone
        self.world.add(name, zone)
        self._start(name)

    def running(self) -> list[str]:
        """Return the instances that are neither dead nor paused."""
        return [
            name
            for name in self.partitions
            if not self.host(name).dead and not self.host(name).paused
        ]

    def primaries(self) -> list[str]:
        """Return the running instances that decide something."""
        return [
            name
            for name in self.running()
            if self.partitions[name].list_owned()
        ]

    def _start(self, name: str) -> None:
        """Start what an instance runs."""
        world, instance = self.world, InstanceId(name)
        runtime = Runtime(
            settings=world.settings_of(name),
            clock=world.hosts[instance].clock,
            bus=world.bus(name),
            store=world.store_of(name),
            members=world.members[instance],
            teams=FakeTeams(),
            partitions=LocalPartitions({}),
            decisions=NoDecisions(),
        )
        partitions = StoredPartitions(
            runtime,
            self._make_states,
            partitions=self.count,
            safeguards=self._safeguards,
            rng=random.Random(world.random.random()),
        )
        runtime.partitions = partitions
        self.runtimes[name] = runtime
        self.partitions[name] = partitions
        partitions.start()
        self._start_on(runtime)
