"""Tests of settings in force during failures of store and instances."""

import functools
from collections.abc import Callable

from guavagate.exceptions import StoreUnavailableError
from guavagate.measure.fakes import FakeMembers
from guavagate.measure.settings import TEAM, SettingsFleet, measure_propagation
from guavagate.models import InstanceId, Revision, TeamId
from guavagate.ports.store import StoredObject
from guavagate.settings import (
    SettingsRecord,
    TeamSettingsManager,
    settings_path,
)
from guavagate.settings._messages import SettingsTell
from guavagate.settings._relay import choose_relay
from guavagate.settings._status import collect_status
from tests.settings_fleet import NINE, make_fleet


def _find_relay(fleet: SettingsFleet, zone: str = 'zone-0') -> str:
    alive = fleet.world.members[InstanceId('i0')].alive()
    relay = choose_relay(zone, alive)
    assert relay is not None
    return relay


def _other_names(*excluded: str) -> list[str]:
    return [name for name in NINE if name not in excluded]


def test_a_store_outage_refuses_changes_and_reverts_nothing() -> None:
    """The store is down for an hour: a change is refused, all settings stay."""
    fleet = make_fleet(2, ['i0', 'i1'])
    fleet.world.store.outage = True
    refused = fleet.change('i1', 2, 5)
    assert isinstance(refused, StoreUnavailableError)
    fleet.world.clock.advance(3600)
    assert fleet.revisions() == {2}
    assert not any(teams.unready_reasons() for teams in fleet.teams.values())
    fleet.world.store.outage = False
    fleet.world.clock.advance(5)
    assert isinstance(fleet.change('i1', 2, 5), SettingsRecord)


def test_a_new_list_recovers_a_compacted_watch() -> None:
    """A change during a store outage is found by listing again.

    The platform writes revision 2 while the relays can't reach the store. The
    revision where the watch left off is compacted by then, so resuming the
    watch would miss the change.
    """
    fleet = make_fleet()
    other = make_fleet(2)
    store = fleet.world.store
    store.outage = True
    fleet.world.clock.advance(10)
    store.change(settings_path(TEAM), other.stored())
    store.compacted = store.revision + 5
    store.revision += 10
    store.outage = False
    fleet.world.clock.advance(10)
    assert fleet.revisions() == {2}


def test_a_stale_store_reverts_no_instance() -> None:
    """Every instance keeps revision 3 while the store answers with 2.

    An instance that restarts meanwhile gets both and applies the newer one. A
    change is refused then, because it would be based on the old text.
    """
    fleet = make_fleet(2)
    fleet.world.store.serve_stale(on=True)
    assert isinstance(fleet.change('i0', 2, 5), SettingsRecord)
    fleet.restart('i4')
    fleet.world.clock.advance(310)
    assert fleet.revisions() == {3}
    refused = fleet.change('i4', 3, 6)
    assert isinstance(refused, StoreUnavailableError)
    assert 'revision 2' in str(refused)
    fleet.world.store.serve_stale(on=False)
    assert isinstance(fleet.change('i4', 3, 6), SettingsRecord)
    assert fleet.reverts == 0


def test_settings_lost_by_the_store_are_written_back() -> None:
    """After a restore from a backup the newest revision is written back.

    Otherwise an instance that starts without any peer would put earlier
    settings in force, long after they were replaced.
    """
    fleet = make_fleet(3)
    store = fleet.world.store
    old = make_fleet(1).stored()
    path = settings_path(TEAM)
    store.objects[path] = StoredObject(path, old, Revision(1))
    fleet.world.clock.advance(310)
    assert b'"revision":3' in fleet.stored()
    assert fleet.revisions() == {3}


def test_an_instance_that_starts_in_an_outage_loads_from_its_peers() -> None:
    """It is ready within seconds, with the newest revision."""
    fleet = make_fleet(2)
    fleet.world.store.outage = True
    fleet.restart('i3')
    fleet.world.add('i9')
    fleet.start('i9')
    fleet.world.clock.advance(5)
    assert fleet.revisions('i3', 'i9') == {2}
    assert not fleet.teams['i9'].unready_reasons()


def test_an_instance_without_store_and_peers_is_not_ready() -> None:
    """It must not serve with settings that may be outdated.

    It names what it waits for and becomes ready once the store answers. When
    it is cut off again for longer than the limit, its readiness check fails.
    """
    fleet = SettingsFleet(['alone'])
    fleet.world.store.outage = True
    fleet.world.clock.advance(60)
    reason = ''.join(fleet.teams['alone'].unready_reasons())
    assert 'waiting for the object API' in reason
    fleet.world.store.outage = False
    fleet.world.clock.advance(10)
    assert not fleet.teams['alone'].unready_reasons()
    fleet.world.store.outage = True
    fleet.world.clock.advance(20)
    assert 'neither' in fleet.teams['alone'].unready_reasons()[0]


def test_a_dead_relay_is_replaced_within_its_zone() -> None:
    """Without a relay, a zone would no longer follow the store.

    When a relay dies, the next instance of the zone in rendezvous order takes
    over, so there is still one watch per zone.
    """
    fleet = make_fleet()
    dead = _find_relay(fleet)
    fleet.world.kill(dead)
    fleet.world.clock.advance(5)
    relays = [
        name
        for name in _other_names(dead)
        if fleet.teams[name].report(None).is_relay
    ]
    assert len(relays) == 3
    assert isinstance(fleet.change(_other_names(dead)[0], 1, 5), SettingsRecord)
    fleet.world.clock.advance(2)
    assert fleet.revisions(*_other_names(dead)) == {2}


def test_a_paused_relay_is_unready_and_reverts_no_instance() -> None:
    """A relay is paused during two changes and resumes with old settings.

    It is not ready then, because nothing answered it for longer than the
    limit. The others ignore the older revision that it still sends, and a
    differing digest makes it fetch the newest.
    """
    fleet = make_fleet()
    paused = _find_relay(fleet)
    other = _other_names(paused)[0]
    fleet.world.pause(paused)
    assert isinstance(fleet.change(other, 1, 5), SettingsRecord)
    assert isinstance(fleet.change(other, 2, 6), SettingsRecord)
    fleet.world.clock.advance(60)
    assert fleet.teams[paused].unready_reasons()
    fleet.world.resume(paused)
    fleet.world.clock.advance(3)
    assert fleet.revisions() == {3}
    assert not fleet.teams[paused].unready_reasons()
    assert fleet.reverts == 0


def test_a_late_message_reverts_no_instance() -> None:
    """Revision 1 arrives after revision 2 and is dropped.

    This happens when a slow link delays a message and a newer one overtakes
    it. Revision 1 must not be in force again, not even for a moment.
    """
    fleet = make_fleet()
    late = fleet.teams['i3'].table.record(TEAM)
    assert late is not None
    assert isinstance(fleet.change('i1', 1, 5), SettingsRecord)
    fleet.world.clock.advance(1)
    targets = tuple(InstanceId(name) for name in _other_names('i3', 'i4'))
    message = SettingsTell(record=late, targets=targets)
    fleet.world.bus('i3').send(InstanceId('i4'), message)
    fleet.world.clock.advance(3)
    assert fleet.world.network.messages['SettingsTell'] > len(targets)
    assert fleet.revisions() == {2}
    assert fleet.reverts == 0


class _FactMembers(FakeMembers):
    """A membership whose probes carry facts to all others after 10 ms."""

    def __init__(self, name: str, fleet: '_FactFleet') -> None:
        super().__init__(fleet.world.members[InstanceId(name)].peers)
        self._name = InstanceId(name)
        self._fleet = fleet
        self._peer_facts: dict[InstanceId, dict[str, bytes]] = {}
        self._changed: list[Callable[[InstanceId], None]] = []

    def set_fact(self, name: str, value: bytes) -> None:
        world = self._fleet.world
        for instance, other in world.members.items():
            if isinstance(other, _FactMembers) and other is not self:
                receive = functools.partial(
                    other.receive, self._name, {name: value}
                )
                deliver = functools.partial(
                    world.hosts[instance].deliver, receive
                )
                world.clock.call_at(world.clock.now() + 0.01, deliver)

    def receive(self, sender: InstanceId, facts: dict[str, bytes]) -> None:
        self._peer_facts[sender] = facts
        for changed in self._changed:
            changed(sender)

    def facts(self, instance: InstanceId) -> dict[str, bytes]:
        return self._peer_facts.get(instance, {})

    def subscribe_facts(self, changed: Callable[[InstanceId], None]) -> None:
        self._changed.append(changed)


class _FactFleet(SettingsFleet):
    def start(self, name: str) -> TeamSettingsManager:
        members = _FactMembers(name, self)
        self.world.members[InstanceId(name)] = members
        return super().start(name)


def test_digests_in_probes_recover_lost_messages() -> None:
    """All messages about a change are lost, but probes carry digests.

    Only the writer, and the relays by their watches, have the change. The
    next probe's digest differs, so the others fetch the change; no message
    carries a digest. Without probes and store, an instance is not ready.
    """
    fleet = _FactFleet(NINE)
    fleet.world.clock.advance(3)
    assert isinstance(fleet.change('i0', 0, 1), SettingsRecord)
    fleet.world.clock.advance(1)
    fleet.world.network.loss = 1
    assert isinstance(fleet.change('i1', 1, 5), SettingsRecord)
    fleet.world.clock.advance(0.1)
    assert fleet.revisions() == {1, 2}
    fleet.world.network.loss = 0
    assert fleet.world.clock.run_until(lambda: fleet.revisions() == {2}, 3)
    fleet.world.store.outage = True
    assert not fleet.world.network.messages['SettingsDigest']
    for name in _other_names('i0'):
        fleet.world.kill(name)
    fleet.world.clock.advance(20)
    assert 'neither' in fleet.teams['i0'].unready_reasons()[0]


def test_lost_messages_only_delay_a_change() -> None:
    """With 40 % of the messages lost, digests spread a change in seconds."""
    fleet = make_fleet()
    fleet.world.network.loss = 0.4
    assert isinstance(fleet.change('i1', 1, 5), SettingsRecord)
    assert fleet.world.clock.run_until(lambda: fleet.revisions() == {2}, 10)


def test_status_reports_which_instance_lags_and_why() -> None:
    """An isolated instance is listed as lagging; a dead one is omitted."""
    fleet = make_fleet()
    fleet.world.kill('i8')
    fleet.world.clock.advance(5)
    names = {(InstanceId('i7'), InstanceId(name)) for name in NINE}
    fleet.world.network.blocked = names | {(to, me) for me, to in names}
    assert isinstance(fleet.change('i1', 1, 5), SettingsRecord)
    task = fleet.world.clock.spawn(fleet.teams['i1'].status, TEAM)
    fleet.world.clock.advance(5)
    status = {one.instance: one for one in task.get(block=False)}
    assert 'no answer' in status[InstanceId('i7')].lag
    assert InstanceId('i8') not in status
    assert status[InstanceId('i2')].revision == 2
    assert not status[InstanceId('i2')].lag


def test_a_failing_subscriber_does_not_stop_later_changes() -> None:
    """An exception of a subscriber must not end the task that calls it.

    Otherwise the watch or the handler of messages ends, and the instance
    serves with old settings although it reports itself ready.
    """
    fleet = make_fleet()

    def fail(team: TeamId) -> None:
        raise KeyError(team)

    for name in NINE:
        fleet.teams[name].subscribe(fail)
    for base in (1, 2):
        assert isinstance(fleet.change('i1', base, 5), SettingsRecord)
        fleet.world.clock.advance(2)
    assert fleet.revisions() == {3}


def test_a_stopped_peer_is_listed_but_does_not_count_as_lagging() -> None:
    """A replaced instance stays in its peers' files but serves no requests.

    If it counted as lagging, every wait for all instances would time out.
    """
    fleet = make_fleet()
    me = InstanceId('i0')
    bus, report = fleet.world.bus('i0'), fleet.teams['i0'].report(TEAM)
    status = collect_status(bus, TEAM, me, report, {InstanceId('x'): False})
    assert [one.alive for one in status] == [True, False]
    assert 'stopped' in status[1].lag


def test_a_revision_of_a_newer_release_fails_readiness() -> None:
    """An instance that can't read the newest settings must not be ready."""
    fleet = make_fleet()
    store = fleet.world.store
    newer = fleet.stored().replace(b'weight =', b'gravity =')
    newer = newer.replace(b'"revision":1', b'"revision":2')
    store.change(settings_path(TEAM), newer)
    fleet.world.clock.advance(5)
    assert fleet.revisions() == {1}
    assert 'cannot read revision 2' in fleet.teams['i5'].unready_reasons()[0]
    fleet.world.network.messages.clear()
    fleet.world.clock.advance(20)
    assert not fleet.world.network.messages['SettingsFetch']


def test_changes_are_in_force_on_all_instances_in_time() -> None:
    """None of 200 changes is late while one of nine instances is killed.

    Another one is paused later, and both return after twenty changes.
    """
    spread = measure_propagation(instances=9, changes=200, seed=1)
    assert spread.p99 <= 2
    assert (spread.late, spread.reverts) == (0, 0)
