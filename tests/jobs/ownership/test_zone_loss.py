"""Loss of a whole zone with the owner of jobs in it."""

import itertools

import pytest

from guavagate.jobs import Ownership
from guavagate.jobs.ownership._zones import choose_replica_holders
from guavagate.models import InstanceId, ZoneId
from tests.jobs.fleet import JobFleet, check_complete, make_job
from tests.jobs.samplers import SERVICE

_NAMES = 'abcdef'
_LENGTH = 100
_HOME, _OTHER = ZoneId('home'), ZoneId('other')


def _rank() -> list[str]:
    """Return the instances in the order in which they take over."""
    ownership: Ownership = JobFleet(_NAMES).nodes['a'].ownership
    return [str(each) for each in ownership.list_in_turn(SERVICE)]


def _make_fleet(in_home: int) -> JobFleet:
    """Return a fleet whose first instances in turn are in the owner's zone."""
    ranked = _rank()
    zones = dict.fromkeys(_NAMES, 'other')
    zones |= dict.fromkeys(ranked[:in_home], 'home')
    fleet = JobFleet(_NAMES, _LENGTH, zones=zones)
    fleet.clock.advance(1)
    assert fleet.owner() == ranked[0]
    return fleet


def _announce(
    fleet: JobFleet,
    pairs: list[tuple[InstanceId, InstanceId]],
    *,
    alive: bool,
) -> None:
    """Report to the first of each pair whether the other is alive."""
    for observer, peer in pairs:
        members = fleet.world.members[observer]
        members.update(fleet.world.peers[peer], alive=alive)


@pytest.mark.parametrize('in_home', [1, 2, 3, 4])
def test_texts_resume_after_the_zone_of_the_owner_is_lost(in_home: int) -> None:
    """Both replicas were in the owner's zone, and all texts restarted."""
    fleet = _make_fleet(in_home)
    ranked = _rank()
    fleet.submit(make_job(), ranked[-1])
    fleet.clock.advance(2)
    for name in ranked[:in_home]:
        fleet.world.kill(name)
    fleet.clock.advance(2.7)
    started = fleet.nodes[ranked[in_home]].samplers.started
    assert len(started) == 6
    assert min(after for _, _, after in started) > 15
    fleet.clock.advance(10)
    for name in ranked[in_home:]:
        check_complete(fleet, name, 6)


def test_zone_of_the_owner_cut_off_commits_each_item_once() -> None:
    """Both sides work on the jobs and read them, and end with the same results.

    The sides reach the store and the samplers, but not each other.
    """
    fleet = _make_fleet(3)
    ranked = _rank()
    fleet.submit(make_job(), ranked[-1])
    fleet.clock.advance(2)
    pairs = [
        (InstanceId(one), InstanceId(two))
        for one, two in itertools.permutations(_NAMES, 2)
        if (one in ranked[:3]) != (two in ranked[:3])
    ]
    fleet.world.network.blocked |= set(pairs)
    shown = dict.fromkeys(_NAMES, 0)
    for tick in range(24):
        if tick == 4:
            _announce(fleet, pairs, alive=False)
            assert fleet.nodes[ranked[0]].owner.active
            assert fleet.nodes[ranked[3]].owner.active
        for name in _NAMES:
            results = fleet.read('job-1', name)[1]
            assert len(results) >= shown[name]
            shown[name] = len(results)
        fleet.clock.advance(0.5)
    fleet.world.network.blocked.clear()
    _announce(fleet, pairs, alive=True)
    fleet.clock.advance(3)
    for name in _NAMES:
        check_complete(fleet, name, 6)


def test_one_replica_is_in_another_zone_if_there_is_one() -> None:
    """A lost zone must leave one; two lost instances must leave one too."""
    names = [InstanceId(f'instance-{number}') for number in range(4)]
    for zones in itertools.product((_HOME, _OTHER), repeat=4):
        zone_of = dict(zip(names, zones, strict=True))
        holders = choose_replica_holders(names, zone_of, _HOME, 2)
        assert holders[0] == names[0]
        if _OTHER in zones:
            outside = [each for each in names if zone_of[each] == _OTHER]
            assert set(holders) & set(outside)
            assert outside[0] in holders or holders == names[:2]
        if _OTHER in zones[:2] or _OTHER not in zones:
            assert holders == names[:2]
