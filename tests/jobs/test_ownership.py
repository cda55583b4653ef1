"""The owner of a service's jobs after restarts of one or all instances."""

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


def test_former_owner_that_is_gone_is_ignored() -> None:
    """All instances were killed, and the former owner does not return."""
    fleet = _Fleet()
    ownership = fleet.make_ownership(_NAMES[0])
    first = ownership.find_owner(_SERVICE)
    ownership.set_former_owners({_SERVICE: InstanceId('gone')})
    assert ownership.find_owner(_SERVICE) == first
