"""Tests of the feed while relays are killed, paused or cut off."""

import pytest

from guavagate.feeds import FeedTable, rank_relays
from guavagate.feeds._messages import FeedEntry
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, Revision
from tests.feeds.fleet import NAMES, Fleet


@pytest.fixture
def fleet() -> Fleet:
    """Return six instances in a steady state."""
    return Fleet()


def test_one_instance_watches_for_a_small_fleet(fleet: Fleet) -> None:
    """In a steady state only the relay calls; all receive a change at once."""
    fleet.world.store.calls.clear()
    fleet.clock.advance(10)
    calls = sum(fleet.world.store.calls.values())
    assert calls < 2 * 10 / 0.9 + 4
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(0.2)
    assert fleet.list_values(list(NAMES)) == {b'2'}


def test_the_first_standby_is_in_another_zone() -> None:
    """The failure of a zone must not stop both the relay and its standby."""
    world = World()
    for number in range(40):
        world.add(f'n{number}')
    ranked = rank_relays(list(world.peers.values()))
    assert len(ranked) == 40
    zones = {world.peers[each].availability_zone for each in ranked[:2]}
    assert len(zones) == 2


def test_few_instances_call_an_unavailable_store() -> None:
    """Every call of forty instances to the store fails for six seconds.

    The relay reports that its data is stale. If each instance then called the
    store itself, these would be hundreds of billed calls a second, and as many
    when the store is back. Only some standbys call it, the relay calls it
    through peers, and all others receive the next change from them.
    """
    fleet = Fleet([f'n{number}' for number in range(40)])
    fleet.clear_calls()
    fleet.world.store.outage = True
    fleet.clock.advance(6)
    assert len(fleet.list_store_callers()) <= 6
    fleet.world.store.outage = False
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    assert fleet.list_values(list(fleet.names)) == {b'2'}
    assert len(fleet.list_store_callers()) <= 6


def test_few_instances_list_anew_when_the_relay_dies() -> None:
    """Its standby misses heartbeats, lists, and updates the others in time."""
    fleet = Fleet([f'n{number}' for number in range(40)])
    fleet.clear_calls()
    relay = fleet.list_relays()[0]
    fleet.world.hosts[InstanceId(relay)].kill()
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = [name for name in fleet.names if name != relay]
    assert fleet.list_values(others) == {b'2'}
    assert len(fleet.list_store_callers()) <= 6


def test_others_read_the_store_when_relay_and_standbys_die() -> None:
    """The relay and all standbys are killed just before a change."""
    fleet = Fleet([f'n{number}' for number in range(20)])
    killed = fleet.order_relays()[:8]
    for name in killed:
        fleet.world.hosts[InstanceId(name)].kill()
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = [name for name in fleet.names if name not in killed]
    assert fleet.list_values(others) == {b'2'}


def test_a_change_takes_effect_when_relay_and_standby_are_cut_off() -> None:
    """They still send heartbeats; the next standbys relay a change in time."""
    fleet = Fleet([f'n{number}' for number in range(20)])
    for name in fleet.order_relays()[:2]:
        fleet.stores[name].cut_off = True
    fleet.clock.advance(0.95)
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = fleet.order_relays()[2:]
    assert fleet.list_values(others) == {b'2'}


def test_a_change_takes_effect_in_time_when_the_relays_die(
    fleet: Fleet,
) -> None:
    """The configuration changes as the relays are killed.

    The others receive neither the change nor a heartbeat. They read the store
    themselves within the two seconds in which a change must take effect.
    """
    others = fleet.list_followers()
    for relay in fleet.list_relays():
        fleet.world.hosts[InstanceId(relay)].kill()
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    assert fleet.list_values(others) == {b'2'}


def test_a_change_takes_effect_when_the_relays_are_cut_off(
    fleet: Fleet,
) -> None:
    """Their watches hang, so they see no change, but they send heartbeats.

    The heartbeats contain the age of their data, so the others stop following.
    """
    others = fleet.list_followers()
    for relay in fleet.list_relays():
        fleet.stores[relay].cut_off = True
    fleet.clock.advance(0.7)
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    assert fleet.list_values(others) == {b'2'}


def test_a_standby_goes_on_while_the_relay_is_cut_off() -> None:
    """The relay's calls to the store get no answer for twenty seconds.

    Five standbys take over. If each relied on the others, all would stop, the
    data would become stale, and they would list all anew every few seconds.
    """
    fleet = Fleet([f'n{number}' for number in range(20)])
    fleet.stores[fleet.list_relays()[0]].cut_off = True
    fleet.clock.advance(6)
    fleet.clear_calls()
    fleet.clock.advance(14)
    assert fleet.list_store_callers() <= set(fleet.order_relays()[:2])
    assert not fleet.world.store.calls['list']


def test_an_instance_that_works_on_jobs_does_not_relay() -> None:
    """The first standby owns jobs and receives nothing from the relay.

    As a relay it would open links to all others and send them all objects,
    which delays the commits of its own results. It watches the store for itself
    alone, and the next standby relays.
    """
    fleet = Fleet([f'n{number}' for number in range(20)])
    relay, owner, second = fleet.order_relays()[:3]
    fleet.working.add(owner)
    fleet.world.hosts[InstanceId(relay)].kill()
    fleet.clock.advance(3)
    assert not fleet.feeds[owner].relaying
    assert fleet.feeds[second].relaying
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(2)
    assert fleet.list_values(fleet.list_followers()) == {b'2'}


def test_no_instance_returns_to_an_older_version(fleet: Fleet) -> None:
    """The relay changes while the configuration changes ten times."""
    for number in range(2, 12):
        fleet.world.store.change('config/main', str(number).encode())
        if number % 3 == 0:
            fleet.world.pause(fleet.list_relays()[0])
        fleet.clock.advance(0.8)
    for name in NAMES:
        fleet.world.resume(name)
    fleet.clock.advance(8)
    for name in NAMES:
        versions = [int(each) for each in fleet.received[name]]
        assert versions == sorted(versions)
        assert versions[-1] == 11


def test_an_upstream_that_left_does_not_come_back() -> None:
    """A slow relay sends it after another relay has sent its removal."""
    table = FeedTable()
    objects: dict[str, bytes] = {}
    table.register_handlers(
        'servers',
        lambda stored: objects.update({stored.path: stored.value}),
        lambda name: objects.clear(),
    )
    entry = FeedEntry(path='servers/x', version=Revision(3), value=b'1')
    table.apply(entry)
    table.apply(FeedEntry(path='servers/x', version=Revision(3)))
    table.apply(entry)
    assert not objects
    table.apply_snapshot([], Revision(9), ('servers',))
    table.apply(FeedEntry(path='servers/x', version=Revision(10), value=b'2'))
    assert objects


def test_a_missed_removal_is_applied_from_a_snapshot(fleet: Fleet) -> None:
    """A follower is paused while an upstream is removed."""
    fleet.world.store.change('servers/x', b'1')
    fleet.clock.advance(1)
    other = fleet.list_followers()[0]
    assert 'servers/x' in fleet.objects[other]
    fleet.world.pause(other)
    fleet.clock.advance(3)
    fleet.world.store.change('servers/x', None)
    fleet.clock.advance(3)
    fleet.world.resume(other)
    fleet.clock.advance(6)
    assert 'servers/x' not in fleet.objects[other]


def test_a_first_start_makes_few_store_calls() -> None:
    """Six instances start at once for the first time.

    The relay lists and watches for all; the others read its snapshot. If each
    watched until a relay sent data, a fleet of ninety would make half of a
    day's calls in its first seconds.
    """
    fleet = Fleet()
    alone = len(NAMES) * 2
    assert sum(fleet.world.store.calls.values()) < alone + 4 * 2 / 0.9


def test_an_instance_that_finds_no_relay_watches_for_itself() -> None:
    """It starts and reaches the store, but no other instance.

    After two seconds it stops waiting for a relay.
    """
    fleet = Fleet()
    name = fleet.list_followers()[0]
    fleet.world.kill(name)
    fleet.clock.advance(4)
    fleet.world.add(name)
    for other in NAMES:
        one, two = InstanceId(name), InstanceId(other)
        fleet.world.network.blocked |= {(one, two), (two, one)}
    fleet._start(name)
    fleet.clock.advance(1.5)
    assert not fleet.objects[name]
    fleet.clock.advance(1.5)
    assert fleet.objects[name]['config/main'] == b'1'


def test_all_instances_restart_and_serve_at_once() -> None:
    """Every instance is killed and restarts while callers are waiting.

    There is no relay until the instances have found each other. If they waited
    half a second for one, callers would be refused, retry and be refused
    again.
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
    assert all('config/main' in fleet.objects[name] for name in NAMES)


def test_followers_list_once_and_never_watch_after_a_restart_of_all() -> None:
    """Forty instances are killed, restart, and find each other 0.8 s later.

    Each has listed the objects by then. If it went on until a relay's data was
    fresh for a second, it would begin a watch of each prefix as well, and read
    the proof object again and again.
    """
    names = [f'n{number}' for number in range(40)]
    fleet = Fleet(names, proving=True)
    for name in names:
        fleet.world.kill(name)
    for name in names:
        fleet.world.add(name)
    members = fleet.world.members
    for name, each in members.items():
        each.peers = {name: fleet.world.peers[name]}
    for name in names:
        fleet._start(name, first=False)
    fleet.clock.advance(0.1)
    assert all(fleet.feeds[name].loaded for name in names)
    fleet.clock.advance(0.7)
    for each in members.values():
        for peer in fleet.world.peers.values():
            each.update(peer, alive=True)
    fleet.clock.advance(4)
    lists_and_proof = 3
    followers = fleet.list_followers()
    calls = [fleet.stores[name].calls_made for name in followers]
    assert set(calls) == {lists_and_proof}
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.5)
    assert fleet.list_values(names) == {b'2'}


def test_an_instance_is_loaded_as_soon_as_it_has_read_all() -> None:
    """An instance restarts while callers are waiting.

    The store answers within milliseconds. The instance refuses callers until
    it is loaded, and the load balancer, which probes once a second, could see
    it unready for a second more.
    """
    fleet = Fleet('a')
    fleet._start('a', first=False)
    fleet.clock.advance(0.05)
    assert fleet.objects['a']
    assert fleet.feeds['a'].loaded
