"""Tests of member discovery through the store, with fakes."""

from typing import Any

from guavagate.measure.fakes import World
from guavagate.membership import registry as module
from guavagate.membership.registry import MemberRegistry
from guavagate.models import InstanceId

_NAMES = 'abcdef'


class _Members:
    """A fake membership in which all listed instances are alive."""

    def __init__(self) -> None:
        self.peers: list[Any] = []

    def update_candidates(self, peers: list[Any]) -> None:
        """Store the listed instances."""
        self.peers = peers

    def alive(self) -> list[Any]:
        """Return the listed instances."""
        return self.peers


def _start(world: World, name: str) -> _Members:
    """Start the registry of an instance at the fleet's first start."""
    members = _Members()
    MemberRegistry(
        world.store_of(name),
        world.hosts[InstanceId(name)].clock,
        members,  # type: ignore[arg-type]
        world.settings_of(name),
        first_start=True,
    ).start()
    return members


def test_instances_that_start_together_list_once() -> None:
    """Six instances start within 0.3 s; each lists once to save store calls.

    Afterwards one per availability zone lists at intervals, so that two parts
    of the fleet that were separated for long find each other.
    """
    world = World()
    for name in _NAMES:
        world.add(name)
    found: list[_Members] = []
    for name in _NAMES:
        found.append(_start(world, name))
        world.clock.advance(0.05)
    world.clock.advance(2)
    assert all(len(members.peers) == len(_NAMES) for members in found)
    assert world.store.calls['list'] == len(_NAMES)
    world.clock.advance(module.RELIST_INTERVAL_SECONDS)
    assert world.store.calls['list'] == len(_NAMES) + 3


def test_discovery_ends_once_enough_members_are_known() -> None:
    """Instances keep joining for seconds, but a few known ones are enough.

    The registry still waits until running members had the time to answer.
    """
    world = World()
    for name in _NAMES:
        world.add(name)
    for name in _NAMES:
        _start(world, name)
    world.clock.advance(2)
    host = world.hosts[InstanceId('a')]
    members = _Members()
    registry = MemberRegistry(
        world.store_of('a'),
        host.clock,
        members,  # type: ignore[arg-type]
        world.settings_of('a'),
        first_start=False,
    )
    members.update_candidates = lambda peers: None  # type: ignore[method-assign]
    registry.start()
    peers = [object(), object()]
    members.peers = peers
    world.clock.advance(0.2)
    waiting = world.clock.spawn(registry.wait_for_discovery, lambda: True)
    world.clock.advance(0.05)
    assert not waiting.ready()
    world.clock.advance(0.2)
    assert waiting.ready()
