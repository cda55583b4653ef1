"""The registry through which members find each other, on fakes."""

from typing import Any

from guavagate.measure.fakes import World
from guavagate.membership import registry as module
from guavagate.membership.registry import MemberRegistry
from guavagate.models import InstanceId

_NAMES = 'abcdef'


class _Members:
    """A membership that takes everyone who is listed for alive."""

    def __init__(self) -> None:
        self.peers: list[Any] = []

    def update_candidates(self, peers: list[Any]) -> None:
        """Take in who is registered."""
        self.peers = peers

    def alive(self) -> list[Any]:
        """Return who was listed."""
        return self.peers


def _start(world: World, name: str) -> _Members:
    """Register an instance that starts for the first time."""
    members = _Members()
    MemberRegistry(
        world.store_of(name),
        world.hosts[InstanceId(name)].clock,
        members,  # type: ignore[arg-type]
        world.settings_of(name),
        first_start=True,
    ).start()
    return members


def test_all_that_start_together_find_each_other_by_one_list() -> None:
    """Six start within 0.3 s; each lists once, as the store has its price.

    Afterwards one of each availability zone lists now and then, so that two
    parts of a fleet that lost each other for long find together.
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
    world.clock.advance(module.AGAIN_SECONDS)
    assert world.store.calls['list'] == len(_NAMES) + 3


def test_one_that_has_heard_enough_waits_no_longer() -> None:
    """Joins go on for seconds, and one instance needs to hear of few.

    It still waits until those that run had the time to answer.
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
    heard = [object(), object()]
    members.peers = heard
    world.clock.advance(0.2)
    waiting = world.clock.spawn(registry.wait_for_discovery, lambda: True)
    world.clock.advance(0.05)
    assert not waiting.ready()
    world.clock.advance(0.2)
    assert waiting.ready()
