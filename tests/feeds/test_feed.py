"""The feed while relays are killed, paused, cut off or turned away."""

import pytest

from guavagate.feeds import FeedTable, rank_relays
from guavagate.feeds._messages import FeedEntry
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, Revision
from tests.feeds.fleet import NAMES, Fleet


@pytest.fixture
def fleet() -> Fleet:
    """Return six instances that have settled."""
    return Fleet()


def test_one_instance_watches_for_a_small_fleet(fleet: Fleet) -> None:
    """At rest only they call the store; a change is everywhere at once."""
    fleet.world.store.calls.clear()
    fleet.clock.advance(10)
    calls = sum(fleet.world.store.calls.values())
    assert calls < 2 * 10 / 0.9 + 4
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(0.2)
    assert fleet.values(list(NAMES)) == {b'2'}


def test_the_first_stand_in_is_of_another_zone() -> None:
    """A zone that goes takes the relay along, and not its stand-in."""
    world = World()
    for number in range(40):
        world.add(f'n{number}')
    ranked = rank_relays(list(world.peers.values()))
    assert len(ranked) == 40
    zones = {world.peers[each].availability_zone for each in ranked[:2]}
    assert len(zones) == 2


def test_the_store_is_away_and_few_ask_for_it() -> None:
    """No call of forty instances is answered for six seconds.

    The relay says that its news is old. Were each instance to ask for itself
    then, the store would meet hundreds of calls a second, each of them with
    its price, and as many at its return. Some stand-ins ask, the relay asks
    through peers, and all others hear from them when the store is back.
    """
    fleet = Fleet([f'n{number}' for number in range(40)])
    fleet.clear()
    fleet.world.store.outage = True
    fleet.clock.advance(6)
    assert len(fleet.direct()) <= 6
    fleet.world.store.outage = False
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    assert fleet.values(list(fleet.names)) == {b'2'}
    assert len(fleet.direct()) <= 6


def test_the_relay_dies_in_a_large_fleet_and_few_list_anew() -> None:
    """Its stand-in hears no beat, lists, and tells the others in time."""
    fleet = Fleet([f'n{number}' for number in range(40)])
    fleet.clear()
    relay = fleet.relays()[0]
    fleet.world.hosts[InstanceId(relay)].kill()
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = [name for name in fleet.names if name != relay]
    assert fleet.values(others) == {b'2'}
    assert len(fleet.direct()) <= 6


def test_relay_and_stand_ins_die_and_the_others_ask_themselves() -> None:
    """All who would step in are killed at once; a change comes right then."""
    fleet = Fleet([f'n{number}' for number in range(20)])
    killed = fleet.rank()[:8]
    for name in killed:
        fleet.world.hosts[InstanceId(name)].kill()
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = [name for name in fleet.names if name not in killed]
    assert fleet.values(others) == {b'2'}


def test_relay_and_stand_in_are_cut_off_from_the_store() -> None:
    """They live and beat; the next ones step in for a change at that moment."""
    fleet = Fleet([f'n{number}' for number in range(20)])
    for name in fleet.rank()[:2]:
        fleet.stores[name].cut = True
    fleet.clock.advance(0.95)
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = fleet.rank()[2:]
    assert fleet.values(others) == {b'2'}


def test_the_relays_die_and_a_change_is_in_force_in_time(
    fleet: Fleet,
) -> None:
    """The configuration changes as the relays are killed.

    Nobody tells the others. They hear no beat and ask the store themselves,
    before the two seconds are over in which the change has to be in force.
    """
    others = fleet.others()
    for relay in fleet.relays():
        fleet.world.hosts[InstanceId(relay)].kill()
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    assert fleet.values(others) == {b'2'}


def test_the_relays_are_cut_off_from_the_store(fleet: Fleet) -> None:
    """They live and beat, and their watches hang: they know of no change.

    Their beats tell how old their news is; the others stop relying on them.
    """
    others = fleet.others()
    for relay in fleet.relays():
        fleet.stores[relay].cut = True
    fleet.clock.advance(0.7)
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    assert fleet.values(others) == {b'2'}


def test_a_stand_in_goes_on_while_the_relay_is_cut_off() -> None:
    """The relay's way to the store stays silent for twenty seconds.

    Five step in. If each relied on the others they would all stop, news would
    grow old, and they would list all anew every few seconds.
    """
    fleet = Fleet([f'n{number}' for number in range(20)])
    fleet.stores[fleet.relays()[0]].cut = True
    fleet.clock.advance(6)
    fleet.clear()
    fleet.clock.advance(14)
    assert fleet.direct() <= set(fleet.rank()[:2])
    assert not fleet.world.store.calls['list']


def test_one_that_works_on_jobs_does_not_step_in_for_others() -> None:
    """The first stand-in owns jobs and no longer hears the relay.

    Stepping in it would link up with all others and tell each of them all,
    while its own results wait to be listed. It follows the store for itself,
    and with the relay gone for all the next stand-in relays.
    """
    fleet = Fleet([f'n{number}' for number in range(20)])
    relay, owner, second = fleet.rank()[:3]
    fleet.working.add(owner)
    fleet.world.hosts[InstanceId(relay)].kill()
    fleet.clock.advance(3)
    assert not fleet.feeds[owner].relaying
    assert fleet.feeds[second].relaying
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(2)
    assert fleet.values(fleet.others()) == {b'2'}


def test_no_instance_ever_goes_back(fleet: Fleet) -> None:
    """Relays change hands while the configuration changes ten times."""
    for number in range(2, 12):
        fleet.world.store.change('config/main', str(number).encode())
        if number % 3 == 0:
            fleet.world.pause(fleet.relays()[0])
        fleet.clock.advance(0.8)
    for name in NAMES:
        fleet.world.resume(name)
    fleet.clock.advance(8)
    for name in NAMES:
        versions = [int(each) for each in fleet.told[name]]
        assert versions == sorted(versions)
        assert versions[-1] == 11


def test_an_upstream_that_left_does_not_come_back() -> None:
    """A slow relay tells of it after the other told that it is gone."""
    table = FeedTable()
    held: dict[str, bytes] = {}
    table.set_handlers(
        'servers',
        lambda stored: held.update({stored.path: stored.value}),
        lambda name: held.clear(),
    )
    entry = FeedEntry(path='servers/x', version=Revision(3), value=b'1')
    table.apply(entry)
    table.apply(FeedEntry(path='servers/x', version=Revision(3)))
    table.apply(entry)
    assert not held
    table.apply_snapshot([], Revision(9))
    table.apply(FeedEntry(path='servers/x', version=Revision(10), value=b'2'))
    assert held


def test_what_went_while_nobody_listened_is_dropped(fleet: Fleet) -> None:
    """A follower misses the removal of an upstream and reads the whole copy."""
    fleet.world.store.change('servers/x', b'1')
    fleet.clock.advance(1)
    other = fleet.others()[0]
    assert 'servers/x' in fleet.known[other]
    fleet.world.pause(other)
    fleet.clock.advance(3)
    fleet.world.store.change('servers/x', None)
    fleet.clock.advance(3)
    fleet.world.resume(other)
    fleet.clock.advance(6)
    assert 'servers/x' not in fleet.known[other]


def test_a_fleet_that_starts_leaves_the_store_alone() -> None:
    """Six instances start at once for the first time.

    The relay lists and watches for all; the others ask it for what it has.
    Were each to watch until a relay has told it, a fleet of ninety would make
    half of a day's calls in its first seconds.
    """
    fleet = Fleet()
    alone = len(NAMES) * 2
    assert sum(fleet.world.store.calls.values()) < alone + 4 * 2 / 0.9


def test_one_that_finds_no_relay_watches_for_itself() -> None:
    """It starts and reaches no other instance, but the store.

    After two seconds it stops waiting to be told.
    """
    fleet = Fleet()
    name = fleet.others()[0]
    fleet.world.kill(name)
    fleet.clock.advance(4)
    fleet.world.add(name)
    for other in NAMES:
        one, two = InstanceId(name), InstanceId(other)
        fleet.world.network.blocked |= {(one, two), (two, one)}
    fleet._start(name)
    fleet.clock.advance(1.5)
    assert not fleet.known[name]
    fleet.clock.advance(1.5)
    assert fleet.known[name]['config/main'] == b'1'


def test_all_are_killed_and_serve_again_at_once() -> None:
    """Every instance starts again, and callers are waiting.

    There is no relay until the instances have found each other. Were they to
    wait for it half a second, callers would be refused, come back, and be
    refused again.
    """
    fleet = Fleet()
    for name in NAMES:
        fleet.world.kill(name)
    fleet.clock.advance(1)
    for name in NAMES:
        fleet.world.add(name)
    for name in NAMES:
        fleet._start(name, first=False)
    fleet.clock.advance(0.1)
    assert all('config/main' in fleet.known[name] for name in NAMES)


def test_an_instance_is_loaded_as_soon_as_it_has_read_all() -> None:
    """All instances were killed and start again; callers are waiting.

    The store answers within milliseconds. Until an instance says that it is
    loaded it refuses callers, and the balancer, which asks once a second, may
    find it unready for a second more.
    """
    fleet = Fleet('a')
    fleet._start('a', first=False)
    fleet.clock.advance(0.05)
    assert fleet.known['a']
    assert fleet.feeds['a'].loaded
