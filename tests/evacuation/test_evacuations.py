"""Evacuations as all instances follow them, with faults of the store."""

import logging

import pytest

from guavagate.models import InstanceId, Revision
from guavagate.ports.store import StoredObject
from tests.evacuation.fleet import PREFIX, Fleet

# Well within the 5 s that an instance has.
BOUND = 1.5


@pytest.fixture
def fleet() -> Fleet:
    """Return instances that use an upstream in each of two zones."""
    made = Fleet()
    assert made.list_serving() == {'ab'}
    return made


def test_all_instances_stop_using_an_evacuated_zone(fleet: Fleet) -> None:
    """Operators evacuate a zone, and requests go on to its upstreams."""
    fleet.evacuate('a')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'b'}
    fleet.end('a')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'ab'}
    assert all(node.returned == ['a'] for node in fleet.nodes.values())


def test_two_zones_at_once_and_an_upstream_that_registers_there(
    fleet: Fleet,
) -> None:
    """A rolling replacement goes on in a zone while it is evacuated."""
    fleet.evacuate('a')
    fleet.evacuate('b')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {''}
    fleet.put_upstream('c', 'a')
    fleet.world.store.change('servers/a', None)
    fleet.clock.advance(BOUND)
    fleet.end('b')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'b'}
    fleet.end('a')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'bc'}


@pytest.mark.parametrize('alone', [False, True])
def test_an_instance_that_starts_during_an_evacuation(
    fleet: Fleet, alone: bool
) -> None:
    """Its upstreams are known before the evacuation, and get requests."""
    fleet.evacuate('a')
    fleet.clock.advance(BOUND)
    if alone:
        for name in fleet.nodes:
            fleet.world.kill(name)
        fleet.clock.advance(3)
    node = fleet.restart('c')
    for _ in range(80):
        fleet.clock.advance(0.05)
        assert 'a' not in node.list_serving()
    assert node.list_serving() == 'b'
    assert not any('a' in each for each in node.history)


def test_a_rolling_restart_during_an_evacuation(fleet: Fleet) -> None:
    """Relays and standbys change while each instance restarts."""
    fleet.evacuate('a')
    fleet.clock.advance(BOUND)
    for name in fleet.nodes:
        fleet.world.kill(name)
        fleet.clock.advance(0.5)
        fleet.restart(name)
        for _ in range(30):
            fleet.clock.advance(0.1)
            assert not any('a' in each for each in fleet.list_serving())
    fleet.end('a')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'ab'}


def test_an_instance_whose_settings_name_no_evacuations(fleet: Fleet) -> None:
    """It has no handler for what the relay sends.

    It would keep objects that it gets no removal of, and relay them later.
    """
    name = next(each for each in fleet.nodes if each != fleet.find_relay())
    node = fleet.restart(name, follows=False)
    fleet.clock.advance(3)
    assert not node.feed.relaying
    fleet.evacuate('a')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'ab', 'b'}
    paths = {each.path for each in node.feed._table.entries()}
    assert paths == {'config/main', 'servers/a', 'servers/b'}
    fleet.put_upstream('c', 'b')
    fleet.end('a')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'abc'}


def test_an_outage_of_the_store_ends_no_evacuation(fleet: Fleet) -> None:
    """The last known state is in force, also while relays change."""
    fleet.evacuate('a')
    fleet.clock.advance(BOUND)
    fleet.world.store.outage = True
    fleet.clock.advance(4)
    fleet.world.kill(fleet.find_relay())
    fleet.clock.advance(10)
    assert fleet.list_serving() == {'b'}
    # Removed as the store ends its outage.
    fleet.end('a')
    fleet.clock.advance(1)
    assert fleet.list_serving() == {'b'}
    fleet.world.store.outage = False
    fleet.clock.advance(2)
    assert fleet.list_serving() == {'ab'}


def test_an_evacuation_that_is_set_during_an_outage(fleet: Fleet) -> None:
    """It takes effect when the store answers again, though no watch saw it."""
    fleet.world.store.outage = True
    fleet.clock.advance(3)
    fleet.evacuate('a')
    fleet.world.store.compacted = fleet.world.store.revision
    fleet.clock.advance(3)
    fleet.world.store.outage = False
    fleet.clock.advance(2)
    assert fleet.list_serving() == {'b'}


def test_a_relay_that_is_cut_off_delays_no_other_instance(
    fleet: Fleet,
) -> None:
    """Its heartbeats would go on to say that its data is fresh."""
    relay = fleet.find_relay()
    fleet.nodes[relay].store.cut_off = True
    fleet.clock.advance(1)
    fleet.evacuate('a')
    fleet.clock.advance(3)
    others = [node for name, node in fleet.nodes.items() if name != relay]
    assert {node.list_serving() for node in others} == {'b'}


def test_a_relay_that_reads_only_the_other_objects_delays_no_instance(
    fleet: Fleet,
) -> None:
    """Its calls for evacuations hang, and all others are answered."""
    relay = fleet.find_relay()
    fleet.nodes[relay].store.hanging = PREFIX
    fleet.clock.advance(1)
    fleet.evacuate('a')
    fleet.clock.advance(3)
    others = [node for name, node in fleet.nodes.items() if name != relay]
    assert {node.list_serving() for node in others} == {'b'}


def test_an_evacuation_that_is_removed_and_set_again_at_once(
    fleet: Fleet,
) -> None:
    """One answer of the watch has both changes, or a list shows only one."""
    fleet.evacuate('a')
    fleet.clock.advance(BOUND)
    for pause in (0, 0.02, 0.3, 0.9):
        fleet.end('a')
        fleet.clock.advance(pause)
        fleet.evacuate('a')
        fleet.clock.advance(BOUND)
        assert fleet.list_serving() == {'b'}
    fleet.evacuate('b')
    fleet.end('b')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'b'}


def test_a_follower_that_missed_an_evacuation_and_its_end(
    fleet: Fleet,
) -> None:
    """The link to it is cut while the object is removed; the link returns."""
    relay = fleet.find_relay()
    follower = next(name for name in fleet.nodes if name != relay)
    way = (InstanceId(relay), InstanceId(follower))
    fleet.evacuate('a')
    fleet.clock.advance(0.3)
    fleet.world.network.blocked.add(way)
    fleet.end('a')
    fleet.clock.advance(0.05)
    fleet.world.network.blocked.clear()
    fleet.clock.advance(1)
    assert fleet.list_serving() == {'ab'}


def test_a_malformed_object_and_an_unknown_zone(
    fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """The name of an object alone says which zone is evacuated.

    A zone without upstreams changes nothing, and is reported once by each
    instance that is asked for the zones that it knows.
    """
    caplog.set_level(logging.INFO)
    fleet.evacuate('a', b'null')
    fleet.evacuate('nowhere', b'\xff[')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'b'}
    fleet.evacuate('nowhere', b'{}')
    fleet.clock.advance(3)
    unknown = [each for each in caplog.messages if 'GG8062' in each]
    assert len(unknown) == len(fleet.nodes)
    begun = [each for each in caplog.messages if 'GG8060' in each]
    assert len(begun) == 2 * len(fleet.nodes)
    fleet.end('nowhere')
    fleet.clock.advance(BOUND)
    assert fleet.list_serving() == {'b'}


def test_connections_to_the_zone_are_closed_also_those_in_use(
    fleet: Fleet,
) -> None:
    """A request that ends later returns its connection to the pool."""
    fleet.evacuate('a')
    fleet.clock.advance(BOUND)
    node = fleet.nodes['c']
    address = node.upstreams.registered()[0].address
    assert address in node.closed
    node.closed.clear()
    fleet.clock.advance(1.1)
    assert set(node.closed) == {address}
    fleet.end('a')
    fleet.clock.advance(BOUND)
    node.closed.clear()
    fleet.clock.advance(3)
    assert not node.closed


def test_following_evacuations_costs_one_more_watch_at_the_relay(
    fleet: Fleet,
) -> None:
    """A watch by each of seventy instances would use up the store's rate."""
    fleet.world.store.calls.clear()
    for node in fleet.nodes.values():
        node.store.calls_made = 0
    fleet.clock.advance(9)
    callers = [each for each in fleet.nodes.values() if each.store.calls_made]
    assert len(callers) == 1
    # Ten watches of each of three prefixes.
    assert fleet.world.store.calls.total() <= 33


def test_the_store_drops_its_history_while_a_zone_is_evacuated(
    fleet: Fleet,
) -> None:
    """A pending watch then misses the object, and says so at its end only."""
    store = fleet.world.store
    fleet.clock.advance(0.3)
    store.revision += 1
    version = Revision(store.revision)
    path = f'{PREFIX}/a'
    store.objects[path] = StoredObject(path, b'{}', version)
    store.compacted = version + 1
    fleet.clock.advance(BOUND)
    store.compacted = 0
    assert fleet.list_serving() == {'b'}


@pytest.mark.parametrize('lost', [False, True])
def test_a_suspended_instance_sends_nothing_before_it_caught_up(
    fleet: Fleet, lost: bool
) -> None:
    """A zone is evacuated while it is suspended.

    What waited there is sent before it reads from its links, or after these
    were lost and it has to read a snapshot.
    """
    relay = fleet.find_relay()
    name = next(each for each in fleet.nodes if each != relay)
    node = fleet.nodes[name]
    fleet.world.pause(name)
    fleet.clock.advance(1)
    if lost:
        fleet.world.network.blocked.add((InstanceId(relay), InstanceId(name)))
    fleet.evacuate('a')
    fleet.clock.advance(8)
    fleet.world.network.blocked.clear()
    fleet.world.resume(name)
    sent = []
    for _ in range(60):
        sent.append(node.list_sendable())
        fleet.clock.advance(0.03)
    assert set(sent) == {'', 'b'}
    assert sent.index('b') < 40


def test_an_outage_or_a_short_pause_holds_nothing(fleet: Fleet) -> None:
    """In an outage of the store nothing newer than the last state exists."""
    node = fleet.nodes['c']
    fleet.world.store.outage = True
    for _ in range(100):
        fleet.clock.advance(0.1)
        assert node.list_sendable() == 'ab'
    fleet.world.store.outage = False
    fleet.clock.advance(3)
    fleet.world.pause('c')
    fleet.clock.advance(1.5)
    fleet.world.resume('c')
    assert node.list_sendable() == 'ab'
