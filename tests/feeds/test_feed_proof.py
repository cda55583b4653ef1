"""Tests of the proven age of the configuration on all instances."""

import pytest

from guavagate.exceptions import StoreUnavailableError
from guavagate.models import InstanceId, Revision
from guavagate.ports.store import StoreChange, StoredObject
from tests.feeds.fleet import Fleet


@pytest.fixture
def proving() -> Fleet:
    """Return six instances that prove the age of their configuration."""
    return Fleet(proving=True)


def test_one_instance_reads_the_proof_for_a_small_fleet(proving: Fleet) -> None:
    """That costs one more call a second, however many instances there are."""
    proving.world.store.calls.clear()
    proving.clock.advance(10)
    calls = sum(proving.world.store.calls.values())
    assert calls < 3 * 10 / 0.9 + 4


def test_the_proof_stays_young_without_changes(proving: Fleet) -> None:
    """Nothing changes for a minute, and keys are accepted all the time."""
    for _ in range(200):
        proving.clock.advance(0.31)
        assert max(proving.list_ages(proving.names)) < 2.7


def test_the_relay_is_lost_and_the_proof_stays_young(proving: Fleet) -> None:
    """A standby reads a proof within the time in which keys are accepted."""
    for relay in proving.order_relays()[:2]:
        proving.world.kill(relay)
    rest = proving.list_followers()[1:]
    for _ in range(40):
        proving.clock.advance(0.2)
        assert max(proving.list_ages(rest)) < 4.5


def test_the_proof_of_an_instance_that_is_cut_off_ages(proving: Fleet) -> None:
    """An instance could miss the revocation of a key.

    It receives nothing from the relays and no answer from the store.
    """
    alone = proving.list_followers()[-1]
    proving.stores[alone].cut_off = True
    for other in proving.names:
        if other != alone:
            one, two = InstanceId(alone), InstanceId(other)
            proving.world.network.blocked |= {(one, two), (two, one)}
    proving.clock.advance(5)
    assert min(proving.list_ages([alone])) > 4.5


def test_the_proof_is_old_at_once_after_a_suspension(
    proving: Fleet,
) -> None:
    """A resumed process reads old messages of relays from its sockets.

    Its first request arrives at the same moment as these messages.
    """
    asleep = proving.list_followers()[-1]
    proving.world.pause(asleep)
    proving.clock.advance(20)
    proving.world.store.change('config/main', b'2')
    proving.world.resume(asleep)
    assert min(proving.list_ages([asleep])) > 15


def test_no_instance_has_a_young_proof_during_a_store_outage(
    proving: Fleet,
) -> None:
    """Relays still send heartbeats, but the proof in them ages."""
    proving.world.store.outage = True
    proving.clock.advance(6)
    assert min(proving.list_ages(proving.names)) > 4.5
    proving.world.store.outage = False
    proving.clock.advance(3)
    assert max(proving.list_ages(proving.names)) < 2.7


def test_a_watch_that_misses_a_change_proves_nothing(proving: Fleet) -> None:
    """The store drops its history, and its watches miss changes for a while.

    They end without an event, as if nothing had changed. If that counted as a
    proof, a key that was revoked meanwhile would be accepted.
    """

    def watch_nothing(
        prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        proving.clock.sleep(timeout)
        return [], since

    for store in proving.stores.values():
        store.watch = watch_nothing  # type: ignore[method-assign]
    proving.clock.advance(2)
    proving.world.store.change('config/main', b'2')
    changed_at = proving.clock.now()
    for _ in range(30):
        proving.clock.advance(0.1)
        for name in proving.names:
            proved_at = proving.clock.now() - proving.feeds[name].proof.age()
            newest = proving.objects[name]['config/main'] == b'2'
            assert newest or proved_at <= changed_at
    assert proving.list_values(list(proving.names)) == {b'2'}


def test_without_a_read_a_watch_alone_proves_nothing(proving: Fleet) -> None:
    """Reads fail while the watches still end without an event."""

    def fail(path: str) -> StoredObject | None:
        raise StoreUnavailableError('no answer', 'nothing')

    for store in proving.stores.values():
        store.get = fail  # type: ignore[method-assign]
    proving.clock.advance(4)
    assert min(proving.list_ages(proving.names)) >= 3.9


def test_a_loaded_instance_has_a_proof_at_once() -> None:
    """All instances restart while callers are waiting and reads are slow.

    The list that returned the configuration is a proof as well. Otherwise
    callers that come before the next read would be refused needlessly.
    """
    fleet = Fleet(proving=True)
    for name in fleet.names:
        fleet.world.kill(name)
    fleet.clock.advance(3)
    for name in fleet.names:
        fleet.world.add(name)
    for name in fleet.names:
        fleet._start(name, first=False)
        fleet.stores[name].read_delay = 0.2
    for _ in range(300):
        fleet.clock.advance(0.001)
        ready = [name for name in fleet.names if fleet.feeds[name].loaded]
        assert max(fleet.list_ages(ready), default=0) < 0.5
    assert len(ready) == len(fleet.names)
