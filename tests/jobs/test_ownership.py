"""Who owns a service's jobs after kills of one and of all."""

from guavagate.jobs import Ownership
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, ServiceId

_SERVICE = ServiceId('llm')
_NAMES = tuple(InstanceId(name) for name in 'abcd')


class _Fleet:
    """Four instances, and when each has started, in milliseconds."""

    def __init__(self) -> None:
        self.world = World()
        self.boots = dict.fromkeys(_NAMES, 100_000)
        for name in _NAMES:
            self.world.add(name)
        self.world.clock.advance(1)

    def look(self, name: InstanceId) -> Ownership:
        """Return how one instance finds owners."""
        members = self.world.members[name]
        return Ownership(members, name, self.boots.get)


def test_former_owner_continues_after_a_restart_of_all() -> None:
    """It held the lease for orders when all processes were killed.

    Any other would first wait until its orders are a lease time old, while
    steps wait for samplers that are ordered to their versions.
    """
    fleet = _Fleet()
    first = fleet.look(_NAMES[0]).find_owner(_SERVICE)
    former = next(name for name in _NAMES if name != first)
    fleet.boots = dict.fromkeys(_NAMES, 160_000)
    for name in _NAMES:
        ownership = fleet.look(name)
        ownership.set_former_owners({_SERVICE: former})
        assert ownership.find_owner(_SERVICE) == former


def test_restart_of_one_instance_does_not_change_the_owner() -> None:
    """What it recalls of the time before must not differ from the others."""
    fleet = _Fleet()
    first = fleet.look(_NAMES[0]).find_owner(_SERVICE)
    restarted = next(name for name in _NAMES if name != first)
    fleet.boots[restarted] = 160_000
    for former in _NAMES:
        ownership = fleet.look(restarted)
        ownership.set_former_owners({_SERVICE: former})
        assert ownership.find_owner(_SERVICE) == first


def test_former_owner_that_is_gone_is_ignored() -> None:
    """All were killed, and its machine does not come back."""
    fleet = _Fleet()
    ownership = fleet.look(_NAMES[0])
    first = ownership.find_owner(_SERVICE)
    ownership.set_former_owners({_SERVICE: InstanceId('gone')})
    assert ownership.find_owner(_SERVICE) == first
