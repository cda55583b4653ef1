"""Fake instances with stored partitions and further components."""

import random
from collections.abc import Callable
from typing import Any, TypeAlias

from guavagate.measure.fakes import FakeDecisionLog, FakeTeams, Host, World
from guavagate.models import InstanceId
from guavagate.partitions import LocalPartitions
from guavagate.partitions.stored import Safeguards, StoredPartitions
from guavagate.runtime import Runtime

MakeStates: TypeAlias = Callable[[Any], dict[Any, Any]]
StartComponents: TypeAlias = Callable[[Runtime], None]


def _start_nothing(runtime: Runtime) -> None:
    """Start no components besides the partitions."""


class Fleet:
    """Instances a, b, c, ... in three availability zones.

    Parameters
    ----------
    start_components
        Starts further components on an instance at each of its starts.
    """

    def __init__(
        self,
        names: str,
        seed: int,
        make_states: MakeStates,
        *,
        partitions: int = 1,
        safeguards: Safeguards | None = None,
        start_components: StartComponents = _start_nothing,
    ) -> None:
        self.world = World(seed)
        self.clock = self.world.clock
        self.partitions: dict[str, StoredPartitions] = {}
        self.runtimes: dict[str, Runtime] = {}
        self.partition_count = partitions
        self._make_states = make_states
        self._safeguards = safeguards
        self._start_components = start_components
        for name in names:
            self.world.add(name, f'zone-{(ord(name) - ord("a")) % 3}')
        for name in names:
            self._start(name)

    def host(self, name: str) -> Host:
        """Return an instance's host."""
        return self.world.hosts[InstanceId(name)]

    def restart(self, name: str) -> None:
        """Restart a killed instance without its in-memory state."""
        zone = self.world.peers[InstanceId(name)].availability_zone
        self.world.add(name, zone)
        self._start(name)

    def list_running(self) -> list[str]:
        """Return the instances that are neither dead nor paused."""
        return [
            name
            for name in self.partitions
            if not self.host(name).dead and not self.host(name).paused
        ]

    def list_primaries(self) -> list[str]:
        """Return the running instances that own a partition."""
        return [
            name
            for name in self.list_running()
            if self.partitions[name].list_owned()
        ]

    def _start(self, name: str) -> None:
        """Start the components of an instance."""
        world, instance = self.world, InstanceId(name)
        runtime = Runtime(
            settings=world.settings_of(name),
            clock=world.hosts[instance].clock,
            bus=world.bus(name),
            store=world.store_of(name),
            members=world.members[instance],
            teams=FakeTeams(),
            partitions=LocalPartitions({}),
            decisions=FakeDecisionLog(),
        )
        partitions = StoredPartitions(
            runtime,
            self._make_states,
            partitions=self.partition_count,
            safeguards=self._safeguards,
            rng=random.Random(world.random.random()),
        )
        runtime.partitions = partitions
        self.runtimes[name] = runtime
        self.partitions[name] = partitions
        partitions.start()
        self._start_components(runtime)
