"""The feed while relays are killed, paused, cut off or turned away."""

from collections.abc import Sequence

import pytest

from guavagate.exceptions import StoreUnavailableError
from guavagate.feeds import Feed, FeedTable, rank_relays
from guavagate.feeds._messages import FeedEntry
from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, Revision
from guavagate.ports.store import StoreChange, StoredObject

_NAMES = 'abcdef'


class _CountingStore(MemoryStore):
    """Counts one instance's calls; no call comes back while it is cut off."""

    asked = 0
    cut = False

    def get(self, path: str) -> StoredObject | None:
        """Count a read."""
        self._note()
        return super().get(path)

    def list_under(self, prefix: str) -> tuple[list[StoredObject], Revision]:
        """Count a list."""
        self._note()
        return super().list_under(prefix)

    def watch(
        self, prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        """Count a watch."""
        self._note()
        return super().watch(prefix, since, timeout)

    def _note(self) -> None:
        self.asked += 1
        if self.cut:
            self.clock.sleep(60)


class _Fleet:
    """Instances in three zones that follow two prefixes."""

    def __init__(
        self, names: Sequence[str] = _NAMES, *, strict: bool = False
    ) -> None:
        self.names = names
        self.proving_path = 'config/main' if strict else ''
        self.world = World()
        self.clock = self.world.clock
        self.known: dict[str, dict[str, bytes]] = {}
        self.told: dict[str, list[bytes]] = {}
        self.stores: dict[str, _CountingStore] = {}
        self.feeds: dict[str, Feed] = {}
        # Those that work on jobs.
        self.working: set[str] = set()
        for name in names:
            self.world.add(name)
        self.clock.advance(1)
        self.world.store.change('config/main', b'1')
        for name in names:
            self._start(name)
        self.clock.advance(4)

    def _start(self, name: str, *, first: bool = True) -> None:
        held: dict[str, bytes] = {}
        told: list[bytes] = []
        self.known[name] = held
        self.told[name] = told

        def put(stored: StoredObject) -> None:
            held[stored.path] = stored.value
            told.append(stored.value)

        host = self.world.hosts[InstanceId(name)]
        self.stores[name] = _CountingStore(host.clock, self.world.store, name)
        feed = Feed(
            self.stores[name],
            self.world.hosts[InstanceId(name)].clock,
            self.world.bus(name),
            self.world.members[InstanceId(name)],
            InstanceId(name),
            ('config', 'servers'),
            ('servers',),
            first_start=first,
            proving='config',
            proving_path=self.proving_path,
            may_stand_in=lambda: name not in self.working,
            boot_clock=self.clock.now,
        )
        feed.handle('config', put, None)

        def remove(gone: str) -> None:
            held.pop(f'servers/{gone}')

        feed.handle('servers', put, remove)
        self.feeds[name] = feed
        feed.start()

    def rank(self) -> list[str]:
        """Return the instances in the order in which they relay."""
        first = InstanceId(self.names[0])
        alive = self.world.members[first].alive()
        return [str(each) for each in rank_relays(alive)]

    def relays(self) -> list[str]:
        """Return who relays as long as nothing is wrong."""
        return self.rank()[:1]

    def others(self) -> list[str]:
        """Return all but the relay."""
        return self.rank()[1:]

    def direct(self) -> set[str]:
        """Return who calls the store."""
        return {name for name in self.names if self.stores[name].asked}

    def clear(self) -> None:
        """Forget who has called the store."""
        self.world.store.calls.clear()
        for store in self.stores.values():
            store.asked = 0

    def ages(self, names: Sequence[str]) -> list[float]:
        """Return how old these hold their configuration to be at most."""
        return [self.feeds[name].proof.age() for name in names]

    def values(self, names: list[str]) -> set[bytes]:
        """Return what these hold of the configuration."""
        return {self.known[name]['config/main'] for name in names}


@pytest.fixture
def fleet() -> _Fleet:
    """Return six instances that have settled."""
    return _Fleet()


@pytest.fixture
def strict() -> _Fleet:
    """Return six instances that must know how new their news is."""
    return _Fleet(strict=True)


def test_one_instance_watches_for_a_small_fleet(fleet: _Fleet) -> None:
    """At rest only they call the store; a change is everywhere at once."""
    fleet.world.store.calls.clear()
    fleet.clock.advance(10)
    calls = sum(fleet.world.store.calls.values())
    assert calls < 2 * 10 / 0.9 + 4
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(0.2)
    assert fleet.values(list(_NAMES)) == {b'2'}


def test_one_instance_proves_for_a_small_fleet(strict: _Fleet) -> None:
    """That costs one more call a second, however many instances there are."""
    strict.world.store.calls.clear()
    strict.clock.advance(10)
    calls = sum(strict.world.store.calls.values())
    assert calls < 3 * 10 / 0.9 + 4


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
    fleet = _Fleet([f'n{number}' for number in range(40)])
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
    fleet = _Fleet([f'n{number}' for number in range(40)])
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
    fleet = _Fleet([f'n{number}' for number in range(20)])
    killed = fleet.rank()[:8]
    for name in killed:
        fleet.world.hosts[InstanceId(name)].kill()
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = [name for name in fleet.names if name not in killed]
    assert fleet.values(others) == {b'2'}


def test_relay_and_stand_in_are_cut_off_from_the_store() -> None:
    """They live and beat; the next ones step in for a change at that moment."""
    fleet = _Fleet([f'n{number}' for number in range(20)])
    for name in fleet.rank()[:2]:
        fleet.stores[name].cut = True
    fleet.clock.advance(0.95)
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(1.9)
    others = fleet.rank()[2:]
    assert fleet.values(others) == {b'2'}


def test_the_relays_die_and_a_change_is_in_force_in_time(
    fleet: _Fleet,
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


def test_the_relays_are_cut_off_from_the_store(fleet: _Fleet) -> None:
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
    fleet = _Fleet([f'n{number}' for number in range(20)])
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
    fleet = _Fleet([f'n{number}' for number in range(20)])
    relay, owner, second = fleet.rank()[:3]
    fleet.working.add(owner)
    fleet.world.hosts[InstanceId(relay)].kill()
    fleet.clock.advance(3)
    assert not fleet.feeds[owner].relaying
    assert fleet.feeds[second].relaying
    fleet.world.store.change('config/main', b'2')
    fleet.clock.advance(2)
    assert fleet.values(fleet.others()) == {b'2'}


def test_no_instance_ever_goes_back(fleet: _Fleet) -> None:
    """Relays change hands while the configuration changes ten times."""
    for number in range(2, 12):
        fleet.world.store.change('config/main', str(number).encode())
        if number % 3 == 0:
            fleet.world.pause(fleet.relays()[0])
        fleet.clock.advance(0.8)
    for name in _NAMES:
        fleet.world.resume(name)
    fleet.clock.advance(8)
    for name in _NAMES:
        versions = [int(each) for each in fleet.told[name]]
        assert versions == sorted(versions)
        assert versions[-1] == 11


def test_an_upstream_that_left_does_not_come_back() -> None:
    """A slow relay tells of it after the other told that it is gone."""
    table = FeedTable()
    held: dict[str, bytes] = {}
    table.handle(
        'servers',
        lambda stored: held.update({stored.path: stored.value}),
        lambda name: held.clear(),
    )
    entry = FeedEntry(path='servers/x', version=Revision(3), value=b'1')
    table.take(entry)
    table.take(FeedEntry(path='servers/x', version=Revision(3)))
    table.take(entry)
    assert not held
    table.take_all([], Revision(9))
    table.take(FeedEntry(path='servers/x', version=Revision(10), value=b'2'))
    assert held


def test_what_went_while_nobody_listened_is_dropped(fleet: _Fleet) -> None:
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
    fleet = _Fleet()
    alone = len(_NAMES) * 2
    assert sum(fleet.world.store.calls.values()) < alone + 4 * 2 / 0.9


def test_one_that_finds_no_relay_watches_for_itself() -> None:
    """It starts and reaches no other instance, but the store.

    After two seconds it stops waiting to be told.
    """
    fleet = _Fleet()
    name = fleet.others()[0]
    fleet.world.kill(name)
    fleet.clock.advance(4)
    fleet.world.add(name)
    for other in _NAMES:
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
    fleet = _Fleet()
    for name in _NAMES:
        fleet.world.kill(name)
    fleet.clock.advance(1)
    for name in _NAMES:
        fleet.world.add(name)
    for name in _NAMES:
        fleet._start(name, first=False)
    fleet.clock.advance(0.1)
    assert all('config/main' in fleet.known[name] for name in _NAMES)


def test_an_instance_is_loaded_as_soon_as_it_has_read_all() -> None:
    """All instances were killed and start again; callers are waiting.

    The store answers within milliseconds. Until an instance says that it is
    loaded it refuses callers, and the balancer, which asks once a second, may
    find it unready for a second more.
    """
    fleet = _Fleet('a')
    fleet._start('a', first=False)
    fleet.clock.advance(0.05)
    assert fleet.known['a']
    assert fleet.feeds['a'].loaded


def test_all_know_their_configuration_to_be_new(strict: _Fleet) -> None:
    """Nothing changes for minutes, and every key is honoured all the time."""
    for _ in range(200):
        strict.clock.advance(0.31)
        assert max(strict.ages(strict.names)) < 2.7


def test_the_relay_is_lost_and_the_proof_stays_young(strict: _Fleet) -> None:
    """A stand-in proves within the time in which keys are honoured."""
    for relay in strict.rank()[:2]:
        strict.world.kill(relay)
    rest = strict.others()[1:]
    for _ in range(40):
        strict.clock.advance(0.2)
        assert max(strict.ages(rest)) < 4.5


def test_one_that_is_cut_off_knows_that_its_news_is_old(strict: _Fleet) -> None:
    """A key is taken away meanwhile; nobody can tell this instance.

    It goes on hearing nothing, neither from the relays nor from the store.
    """
    alone = strict.others()[-1]
    strict.stores[alone].cut = True
    for other in strict.names:
        if other != alone:
            one, two = InstanceId(alone), InstanceId(other)
            strict.world.network.blocked |= {(one, two), (two, one)}
    strict.clock.advance(5)
    assert min(strict.ages([alone])) > 4.5


def test_one_wakes_and_knows_at_once_that_its_news_is_old(
    strict: _Fleet,
) -> None:
    """A suspended process finds in its sockets what relays sent before.

    Its first request comes at the same moment as this old news.
    """
    asleep = strict.others()[-1]
    strict.world.pause(asleep)
    strict.clock.advance(20)
    strict.world.store.change('config/main', b'2')
    strict.world.resume(asleep)
    assert min(strict.ages([asleep])) > 15


def test_nobody_reaches_the_store_and_nobody_claims_to_be_new(
    strict: _Fleet,
) -> None:
    """Relays go on beating; what they tell gets older all the same."""
    strict.world.store.outage = True
    strict.clock.advance(6)
    assert min(strict.ages(strict.names)) > 4.5
    strict.world.store.outage = False
    strict.clock.advance(3)
    assert max(strict.ages(strict.names)) < 2.7


def test_a_watch_that_hears_nothing_proves_nothing(strict: _Fleet) -> None:
    """The store drops its history: for a while its watches hear no change.

    They end without an event, as if nothing had happened. A key that was taken
    away meanwhile would be honoured as if that were proved.
    """

    def hear_nothing(
        prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        strict.clock.sleep(timeout)
        return [], since

    for store in strict.stores.values():
        store.watch = hear_nothing  # type: ignore[method-assign]
    strict.clock.advance(2)
    strict.world.store.change('config/main', b'2')
    changed_at = strict.clock.now()
    for _ in range(30):
        strict.clock.advance(0.1)
        for name in strict.names:
            proved_at = strict.clock.now() - strict.feeds[name].proof.age()
            newest = strict.known[name]['config/main'] == b'2'
            assert newest or proved_at <= changed_at
    assert strict.values(list(strict.names)) == {b'2'}


def test_without_a_read_a_watch_alone_proves_nothing(strict: _Fleet) -> None:
    """Reads get no answer while the watches go on ending without an event."""

    def give_up(path: str) -> StoredObject | None:
        raise StoreUnavailableError('no answer', 'nothing')

    for store in strict.stores.values():
        store.get = give_up  # type: ignore[method-assign]
    strict.clock.advance(4)
    assert min(strict.ages(strict.names)) >= 3.9
