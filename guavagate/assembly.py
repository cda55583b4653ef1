"""Wires one instance over real links, clock and platform."""

import logging
from typing import Final

from guavagate.clock import SystemClock
from guavagate.events import edge as events
from guavagate.events import write
from guavagate.explain import RecentDecisions
from guavagate.instance import Instance
from guavagate.integrations.instance_list import InstanceListPoller
from guavagate.integrations.object_api import (
    connect_platform,
    make_store,
    read_credential,
)
from guavagate.links import ZmqBus
from guavagate.membership import Membership
from guavagate.models import Epoch, PartitionId
from guavagate.partitions import Command, LocalPartitions, ReplicatedState
from guavagate.partitions.replicated import ReplicatedPartitions
from guavagate.runs import RUN_COMMANDS, PublishVersion, RunsState
from guavagate.runtime import Runtime
from guavagate.settings import InstanceSettings, TeamsInForce
from guavagate.util.units import parse_duration

_LOGGER = logging.getLogger(__name__)

# The balancer takes an instance out after it has seen it unready; requests
# that it still sends meanwhile are served.
BALANCER_SECONDS: Final = 2.0


class Process:
    """A running instance: its runtime's own parts, and those above it."""

    def __init__(
        self,
        runtime: Runtime,
        bus: ZmqBus,
        members: Membership,
        poller: InstanceListPoller,
        teams: TeamsInForce,
        partitions: ReplicatedPartitions,
        instance: Instance,
    ) -> None:
        self._runtime = runtime
        self._bus = bus
        self._members = members
        self._poller = poller
        self._teams = teams
        self._partitions = partitions
        self._instance = instance
        self._stopping = False

    def start(self) -> None:
        """Start everything, the callers' edge last."""
        self._bus.start()
        self._members.start()
        self._poller.start()
        self._teams.start()
        self._partitions.start()
        self._instance.readiness.add('stop', self._why_stopping)
        self._instance.readiness.add('id', self._why_superseded)
        self._instance.start()

    def stop(self) -> None:
        """Stop as planned: cut no request, leave no gap; bounded in time."""
        limit = parse_duration(self._runtime.settings.stop_limit)
        end = self._runtime.clock.now() + limit
        self._stopping = True
        self._log('not ready; waiting for the balancer')
        self._runtime.clock.sleep(BALANCER_SECONDS)
        self._instance.active.closing = True
        self._members.start_leaving()
        self._log('handing partitions over')
        self._partitions.stop(max(end - self._runtime.clock.now(), 0) / 2)
        self._log('finishing held answers', count=self._instance.active.count)
        self._instance.finish(max(end - self._runtime.clock.now(), 0))
        self._teams.stop()
        self._poller.stop()
        self._members.stop()
        self._bus.stop()
        self._log('stopped', cut=self._instance.active.count)

    def _why_stopping(self) -> str:
        return 'the instance is being stopped' if self._stopping else ''

    def _why_superseded(self) -> str:
        lost = self._members.superseded()
        return 'a later process carries this instance id' if lost else ''

    def _log(self, phase: str, **fields: int) -> None:
        write(_LOGGER, events.STOP_PROGRESS, phase=phase, **fields)


def make_states(
    partition: PartitionId,
) -> dict[type[Command], ReplicatedState]:
    """Return the states of one partition by the commands they take."""
    runs = RunsState()
    states: dict[type[Command], ReplicatedState] = {}
    for command in RUN_COMMANDS:
        states[command] = runs
    return states


def assemble(settings: InstanceSettings) -> Process:
    """Return a process ready to start.

    Raises
    ------
    GuavagateError
        The settings don't fit this machine.
    """
    clock = SystemClock()
    credential = read_credential(settings.platform).encode()
    members = Membership(settings, clock, credential)
    bus = ZmqBus(
        settings.id,
        settings.peer_address,
        members.address,
        clock,
        credential,
    )
    poller = InstanceListPoller(
        connect_platform(settings.platform, clock), clock, members.take_list
    )
    store = make_store(settings.platform, clock, lambda: len(members.alive()))
    decisions = RecentDecisions(clock, settings.id)
    teams = TeamsInForce(settings, clock, bus, store, members, decisions)
    runtime = Runtime(
        settings=settings,
        clock=clock,
        bus=bus,
        store=store,
        members=members,
        teams=teams,
        partitions=LocalPartitions(settings.id, {}),
        decisions=decisions,
    )
    partitions = ReplicatedPartitions(runtime, make_states)
    runtime.partitions = partitions

    def hosted() -> list[tuple[Epoch, RunsState]]:
        return [
            (epoch, state)
            for epoch, state in partitions.states_of(PublishVersion)
            if isinstance(state, RunsState)
        ]

    instance = Instance(runtime, hosted)
    return Process(runtime, bus, members, poller, teams, partitions, instance)
