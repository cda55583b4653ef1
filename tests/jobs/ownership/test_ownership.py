"""The owner of a service's jobs after restarts of one or all instances."""

import msgspec

from guavagate.jobs import Ownership
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, ServiceId

_SERVICE = ServiceId('llm')
_NAMES = tuple(InstanceId(name) for name in 'abcd')


class _Fleet:
    """Four instances and their start times in milliseconds."""

    def __init__(self) -> None:
        self.world = World()
        self.boots = dict.fromkeys(_NAMES, 100_000)
        for name in _NAMES:
            self.world.add(name)
        self.world.clock.advance(1)

    def make_ownership(self, name: InstanceId) -> Ownership:
        """Return the ownership as one instance computes it."""
        members = self.world.members[name]
        return Ownership(members, name, self.boots.get)


def test_former_owner_continues_after_a_restart_of_all() -> None:
    """The former owner held the lease for orders when all were killed.

    Any other instance would have to wait for the lease to expire, while steps
    wait for samplers to be ordered to their versions.
    """
    fleet = _Fleet()
    first = fleet.make_ownership(_NAMES[0]).find_owner(_SERVICE)
    former = next(name for name in _NAMES if name != first)
    fleet.boots = dict.fromkeys(_NAMES, 160_000)
    for name in _NAMES:
        ownership = fleet.make_ownership(name)
        ownership.set_former_owners({_SERVICE: former})
        assert ownership.find_owner(_SERVICE) == former


def test_restart_of_one_instance_does_not_change_the_owner() -> None:
    """Its knowledge of former owners must not make its ranking differ."""
    fleet = _Fleet()
    first = fleet.make_ownership(_NAMES[0]).find_owner(_SERVICE)
    restarted = next(name for name in _NAMES if name != first)
    fleet.boots[restarted] = 160_000
    for former in _NAMES:
        ownership = fleet.make_ownership(restarted)
        ownership.set_former_owners({_SERVICE: former})
        assert ownership.find_owner(_SERVICE) == first


def test_instances_with_callers_witness_that_an_owner_is_lost() -> None:
    """Two workers and three entries: the owner and its successor are workers.

    No other worker can tell whether the owner is lost or the successor is cut
    off. Each witness is in another zone, as a zone may be cut off as a whole.
    """
    world = World()
    for number in range(5):
        peer = world.add(f'n{number}').instance
        address = '' if number < 2 else '127.0.0.1:2'
        world.peers[peer] = msgspec.structs.replace(
            world.peers[peer], http_address=address
        )
    peers = dict(world.peers)
    name = InstanceId('n0')
    world.members[name].peers = peers
    ownership = Ownership(world.members[name], name)
    witnesses = ownership.list_witnesses(InstanceId('n1'))
    assert set(witnesses) == {'n2', 'n3', 'n4'}
    zones = [peers[each].availability_zone for each in witnesses[:2]]
    assert zones == ['zone-2', 'zone-1'] or zones == ['zone-1', 'zone-2']


def test_former_owner_that_is_gone_is_ignored() -> None:
    """All instances were killed, and the former owner does not return."""
    fleet = _Fleet()
    ownership = fleet.make_ownership(_NAMES[0])
    first = ownership.find_owner(_SERVICE)
    ownership.set_former_owners({_SERVICE: InstanceId('gone')})
    assert ownership.find_owner(_SERVICE) == first
