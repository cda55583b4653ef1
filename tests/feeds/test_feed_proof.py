"""How new all know their configuration to be, and when they know it is not."""

import pytest

from guavagate.exceptions import StoreUnavailableError
from guavagate.models import InstanceId, Revision
from guavagate.ports.store import StoreChange, StoredObject
from tests.feeds.fleet import Fleet


@pytest.fixture
def strict() -> Fleet:
    """Return six instances that must know how new their news is."""
    return Fleet(strict=True)


def test_one_instance_proves_for_a_small_fleet(strict: Fleet) -> None:
    """That costs one more call a second, however many instances there are."""
    strict.world.store.calls.clear()
    strict.clock.advance(10)
    calls = sum(strict.world.store.calls.values())
    assert calls < 3 * 10 / 0.9 + 4


def test_all_know_their_configuration_to_be_new(strict: Fleet) -> None:
    """Nothing changes for minutes, and every key is honoured all the time."""
    for _ in range(200):
        strict.clock.advance(0.31)
        assert max(strict.ages(strict.names)) < 2.7


def test_the_relay_is_lost_and_the_proof_stays_young(strict: Fleet) -> None:
    """A stand-in proves within the time in which keys are honoured."""
    for relay in strict.rank()[:2]:
        strict.world.kill(relay)
    rest = strict.others()[1:]
    for _ in range(40):
        strict.clock.advance(0.2)
        assert max(strict.ages(rest)) < 4.5


def test_one_that_is_cut_off_knows_that_its_news_is_old(strict: Fleet) -> None:
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
    strict: Fleet,
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
    strict: Fleet,
) -> None:
    """Relays go on beating; what they tell gets older all the same."""
    strict.world.store.outage = True
    strict.clock.advance(6)
    assert min(strict.ages(strict.names)) > 4.5
    strict.world.store.outage = False
    strict.clock.advance(3)
    assert max(strict.ages(strict.names)) < 2.7


def test_a_watch_that_hears_nothing_proves_nothing(strict: Fleet) -> None:
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


def test_without_a_read_a_watch_alone_proves_nothing(strict: Fleet) -> None:
    """Reads get no answer while the watches go on ending without an event."""

    def give_up(path: str) -> StoredObject | None:
        raise StoreUnavailableError('no answer', 'nothing')

    for store in strict.stores.values():
        store.get = give_up  # type: ignore[method-assign]
    strict.clock.advance(4)
    assert min(strict.ages(strict.names)) >= 3.9


def test_one_that_has_read_all_has_a_proof_at_the_same_moment() -> None:
    """All were killed and are back; callers are waiting, and reads are slow.

    The list that brought the configuration was a read as well: callers that
    come before the next one would be refused for nothing.
    """
    fleet = Fleet(strict=True)
    for name in fleet.names:
        fleet.world.kill(name)
    fleet.clock.advance(3)
    for name in fleet.names:
        fleet.world.add(name)
    for name in fleet.names:
        fleet._start(name, first=False)
        fleet.stores[name].late = 0.2
    for _ in range(300):
        fleet.clock.advance(0.001)
        ready = [name for name in fleet.names if fleet.feeds[name].loaded]
        assert max(fleet.ages(ready), default=0) < 0.5
    assert len(ready) == len(fleet.names)
