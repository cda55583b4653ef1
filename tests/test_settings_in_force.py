"""Tests of settings in force under the failures they are made for."""

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


def _relay(fleet: SettingsFleet, zone: str = 'zone-0') -> str:
    alive = fleet.world.members[InstanceId('i0')].alive()
    relay = choose_relay(zone, alive)
    assert relay is not None
    return relay


def _others(*but: str) -> list[str]:
    return [name for name in NINE if name not in but]


def test_in_an_outage_nothing_is_accepted_and_nothing_reverts() -> None:
    """For an hour changes are refused for sure, and all serve as before."""
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


def test_a_compacted_watch_is_made_up_by_a_new_list() -> None:
    """A change made while no instance heard the store is found.

    The relays are cut off while the platform writes revision 2 itself; the
    watch's start is compacted by then, so watching on would miss it.
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


def test_a_store_with_an_old_copy_reverts_nobody() -> None:
    """Every instance keeps revision 3 while the store answers with 2.

    One instance restarts meanwhile: it hears both, and takes the newest. A
    change made then is refused rather than built on the old text.
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


def test_a_store_set_back_gets_the_accepted_settings_again() -> None:
    """The platform restores a backup; the newest revision is written back.

    Otherwise an instance that starts when no peer is there would put the
    earlier settings in force, long after they had been replaced.
    """
    fleet = make_fleet(3)
    store = fleet.world.store
    old = make_fleet(1).stored()
    path = settings_path(TEAM)
    store.objects[path] = StoredObject(path, old, Revision(1))
    fleet.world.clock.advance(310)
    assert b'"revision":3' in fleet.stored()
    assert fleet.revisions() == {3}


def test_an_instance_that_starts_in_an_outage_learns_from_its_peers() -> None:
    """It is ready within seconds, with the newest revision there is."""
    fleet = make_fleet(2)
    fleet.world.store.outage = True
    fleet.restart('i3')
    fleet.world.add('i9')
    fleet.start('i9')
    fleet.world.clock.advance(5)
    assert fleet.revisions('i3', 'i9') == {2}
    assert not fleet.teams['i9'].unready_reasons()


def test_an_instance_with_neither_store_nor_peers_says_so() -> None:
    """It is not ready, serves no team, and names what it waits for.

    With the store back it becomes ready; cut off again from both for longer
    than the limit, it fails its readiness check instead of serving on.
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


def test_a_dead_relay_is_replaced_by_one_of_its_zone() -> None:
    """Changes written past guavagate still arrive; one watch per zone.

    The relay of a zone dies, so its instances would hear of the store no
    more; the next in rendezvous order takes the watch over by itself.
    """
    fleet = make_fleet()
    dead = _relay(fleet)
    fleet.world.kill(dead)
    fleet.world.clock.advance(5)
    relays = [
        name
        for name in _others(dead)
        if fleet.teams[name].report(None).is_relay
    ]
    assert len(relays) == 3
    assert isinstance(fleet.change(_others(dead)[0], 1, 5), SettingsRecord)
    fleet.world.clock.advance(2)
    assert fleet.revisions(*_others(dead)) == {2}


def test_an_instance_that_was_paused_neither_reverts_nor_serves_on() -> None:
    """A relay sleeps through two changes and wakes with old news.

    On waking it is not ready: it has heard nobody for longer than the limit.
    What it still passes on is older than what the others have, so they keep
    theirs; a digest then tells it what it lacks.
    """
    fleet = make_fleet()
    asleep = _relay(fleet)
    through = _others(asleep)[0]
    fleet.world.pause(asleep)
    assert isinstance(fleet.change(through, 1, 5), SettingsRecord)
    assert isinstance(fleet.change(through, 2, 6), SettingsRecord)
    fleet.world.clock.advance(60)
    assert fleet.teams[asleep].unready_reasons()
    fleet.world.resume(asleep)
    fleet.world.clock.advance(3)
    assert fleet.revisions() == {3}
    assert not fleet.teams[asleep].unready_reasons()
    assert fleet.reverts == 0


def test_a_message_that_comes_late_reverts_nobody() -> None:
    """Revision 1 reaches the others after revision 2, and is dropped.

    Between telling it and its arrival lay a slow link, on which a newer
    message overtook it. Nobody sees revision 1 again, not even for a moment.
    """
    fleet = make_fleet()
    late = fleet.teams['i3'].table.record(TEAM)
    assert late is not None
    assert isinstance(fleet.change('i1', 1, 5), SettingsRecord)
    fleet.world.clock.advance(1)
    targets = tuple(InstanceId(name) for name in _others('i3', 'i4'))
    message = SettingsTell(record=late, targets=targets)
    fleet.world.bus('i3').send(InstanceId('i4'), message)
    fleet.world.clock.advance(3)
    assert fleet.world.network.messages['SettingsTell'] > len(targets)
    assert fleet.revisions() == {2}
    assert fleet.reverts == 0


class _FactMembers(FakeMembers):
    """Members whose probes carry facts to all others, a little later."""

    def __init__(self, name: str, fleet: '_FactFleet') -> None:
        super().__init__(fleet.world.members[InstanceId(name)].peers)
        self._name = InstanceId(name)
        self._fleet = fleet
        self._heard: dict[InstanceId, dict[str, bytes]] = {}
        self._changed: list[Callable[[InstanceId], None]] = []

    def set_fact(self, name: str, value: bytes) -> None:
        world = self._fleet.world
        for instance, other in world.members.items():
            if isinstance(other, _FactMembers) and other is not self:
                hear = functools.partial(other.hear, self._name, {name: value})
                deliver = functools.partial(world.hosts[instance].deliver, hear)
                world.clock.call_at(world.clock.now() + 0.01, deliver)

    def hear(self, sender: InstanceId, facts: dict[str, bytes]) -> None:
        self._heard[sender] = facts
        for changed in self._changed:
            changed(sender)

    def facts(self, instance: InstanceId) -> dict[str, bytes]:
        return self._heard.get(instance, {})

    def subscribe_facts(self, changed: Callable[[InstanceId], None]) -> None:
        self._changed.append(changed)


class _FactFleet(SettingsFleet):
    def start(self, name: str) -> TeamSettingsManager:
        members = _FactMembers(name, self)
        self.world.members[InstanceId(name)] = members
        return super().start(name)


def test_facts_in_probes_bring_what_messages_lost() -> None:
    """Every message about a change is lost; the probes still tell of it.

    Only the writer and the relays, by their watches, have it. The digest in
    the next probe differs, so each of the others fetches what it lacks, and no
    message carries a digest. With the probes and the store silent, the last
    instance says that it hears nobody.
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
    for name in _others('i0'):
        fleet.world.kill(name)
    fleet.world.clock.advance(20)
    assert 'neither' in fleet.teams['i0'].unready_reasons()[0]


def test_lost_messages_only_delay_a_change() -> None:
    """With 40 % of all messages lost, digests bring the rest in seconds."""
    fleet = make_fleet()
    fleet.world.network.loss = 0.4
    assert isinstance(fleet.change('i1', 1, 5), SettingsRecord)
    assert fleet.world.clock.run_until(lambda: fleet.revisions() == {2}, 10)


def test_status_names_who_lags_and_why() -> None:
    """One instance is cut off, one is dead: both are in the answer."""
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


def test_a_part_that_fails_does_not_stop_later_changes() -> None:
    """A subscriber raises at each change; the instance still follows.

    The failure used to end the task that holds the watch or takes messages,
    and the instance served on by old settings, ready as before.
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


def test_a_stopped_peer_is_shown_but_holds_up_nobody() -> None:
    """A replaced instance stays in its peers' files, and serves nobody.

    Counted as lagging, it would let every wait for "everywhere" time out.
    """
    fleet = make_fleet()
    me = InstanceId('i0')
    bus, report = fleet.world.bus('i0'), fleet.teams['i0'].report(TEAM)
    status = collect_status(bus, TEAM, me, report, {InstanceId('x'): False})
    assert [one.alive for one in status] == [True, False]
    assert 'stopped' in status[1].lag


def test_a_revision_of_a_newer_release_fails_readiness() -> None:
    """An instance that can't read accepted settings must not serve by old."""
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


def test_settings_are_in_force_everywhere_in_time() -> None:
    """200 changes on nine instances, one killed and one paused in between."""
    spread = measure_propagation(instances=9, changes=200, seed=1)
    assert spread.p99 <= 2
    assert (spread.late, spread.reverts) == (0, 0)
