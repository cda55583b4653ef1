"""The order lease while holders pause, restart and lose responses."""

import pytest

from guavagate.exceptions import StoreUnavailableError
from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, ServiceId
from guavagate.rollouts import (
    Lease,
    LeaseHeldError,
    Renewals,
    lease_path,
    list_holders,
)

_LEASE_SECONDS = 3.0


class _Holders:
    """Instances that compete for a lease and announce renewals."""

    def __init__(self) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.state = self.world.store

    def make(self, name: str) -> Lease:
        """Start or restart an instance, and return its lease handle."""
        self.world.add(name)
        me = InstanceId(name)
        return Lease(
            MemoryStore(self.clock, self.state),
            lease_path(ServiceId('llm')),
            me,
            _LEASE_SECONDS,
            Renewals(self.world.bus(name), self.clock.now),
            lambda: [each for each in self.world.hosts if each != me],
            self.clock.now,
        )

    def acquire_or_renew(self, lease: Lease) -> None:
        """Take or renew a lease in virtual time."""
        task = self.clock.spawn(lease.acquire_or_renew)
        self.clock.run_until(task.ready, 30)
        task.get(block=False)


def test_the_first_holder_may_order_at_once() -> None:
    """There is no previous holder to wait for."""
    holders = _Holders()
    lease = holders.make('a')
    holders.acquire_or_renew(lease)
    assert lease.may_order()
    assert lease.generation == 1


def test_a_successor_waits_for_the_orders_of_its_predecessor() -> None:
    """The holder sent an order just before its lease was taken over.

    Samplers that check no generation would get orders of two holders within
    one lease time. The successor's first order must come a full lease time
    after the last moment at which the predecessor was allowed to order.
    """
    holders = _Holders()
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    holders.acquire_or_renew(second)
    taken_over_at = holders.clock.now()
    assert second.generation == 2
    last = taken_over_at
    while not second.may_order():
        if first.may_order():
            last = holders.clock.now()
        holders.clock.advance(0.05)
        holders.acquire_or_renew(second)
    assert holders.clock.now() - last >= _LEASE_SECONDS
    assert not first.may_order()


def _pass_time(holders: _Holders, holder: Lease, seconds: float) -> float:
    """Let time pass; return when the holder was last allowed to order."""
    until = holders.clock.now() + seconds
    last = holders.clock.now()
    while holders.clock.now() < until:
        if holder.may_order():
            last = holders.clock.now()
        holders.clock.advance(0.05)
    return last


def _await_order(holders: _Holders, lease: Lease) -> float:
    """Take the lease over; return when the first order may be sent."""
    holders.acquire_or_renew(lease)
    while not lease.may_order():
        holders.clock.advance(0.05)
        holders.acquire_or_renew(lease)
    return holders.clock.now()


def test_a_successor_that_received_the_last_renewal_waits_less() -> None:
    """The holder last renewed two seconds ago, and is killed.

    The store does not show when it renewed. If the successor waited for the
    full time from its takeover, steps would lack the weights that they require
    for two seconds longer than necessary.
    """
    holders = _Holders()
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    last = _pass_time(holders, first, 2)
    taken_over_at = holders.clock.now()
    ordered = _await_order(holders, second)
    assert ordered - last >= _LEASE_SECONDS
    assert ordered - taken_over_at < 2.1


def test_a_successor_that_missed_a_renewal_waits_the_full_time() -> None:
    """The successor was partitioned from the holder during its last renewal.

    The renewals that it received are older than the last order.
    """
    holders = _Holders()
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    holders.clock.advance(2)
    one, two = InstanceId('a'), InstanceId('b')
    holders.world.network.blocked |= {(one, two), (two, one)}
    holders.acquire_or_renew(first)
    last = _pass_time(holders, first, 0.6)
    assert _await_order(holders, second) - last >= _LEASE_SECONDS


def test_a_holder_killed_during_a_renewal_has_announced_it() -> None:
    """Its write takes effect, but the process dies before the response.

    The successor received the renewal that is in the store, so it does not
    wait for the full time.
    """
    holders = _Holders()
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    holders.clock.advance(2)
    task = holders.clock.spawn(first.acquire_or_renew)
    holders.state.lose_next = 1
    before = holders.state.revision
    holders.clock.run_until(lambda: holders.state.revision > before, 1)
    task.kill(block=False)
    holders.clock.advance(1)
    taken_over_at = holders.clock.now()
    assert _await_order(holders, second) - taken_over_at < 3


def test_a_takeover_during_a_wait_includes_the_earlier_holder() -> None:
    """A holder takes over and is killed while it waits; a third one follows.

    The second holder sent no orders, but the first one did just before.
    """
    holders = _Holders()
    first, second, third = (
        holders.make('a'),
        holders.make('b'),
        holders.make('c'),
    )
    holders.acquire_or_renew(first)
    holders.acquire_or_renew(second)
    last = _pass_time(holders, first, 1)
    assert _await_order(holders, third) - last >= _LEASE_SECONDS


def test_the_last_holder_is_known_from_the_store() -> None:
    """After a restart of all instances, only the store has the holder."""
    holders = _Holders()
    holders.acquire_or_renew(holders.make('a'))
    holders.acquire_or_renew(holders.make('b'))
    store = MemoryStore(holders.clock, holders.state)
    task = holders.clock.spawn(list_holders, store)
    holders.clock.run_until(task.ready, 5)
    assert task.get(block=False) == {'llm': 'b'}


def test_a_previous_holder_can_not_renew() -> None:
    """It was paused while another instance took over, and resumes."""
    holders = _Holders()
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    holders.acquire_or_renew(second)
    with pytest.raises(LeaseHeldError):
        holders.acquire_or_renew(first)
    assert not first.may_order()


def test_a_renewal_is_valid_only_briefly() -> None:
    """The time during which a holder was suspended counts as well."""
    holders = _Holders()
    lease = holders.make('a')
    holders.acquire_or_renew(lease)
    for _ in range(2):
        assert lease.may_order()
        holders.clock.advance(0.6)
        assert not lease.may_order()
        holders.acquire_or_renew(lease)


def test_an_instance_does_not_wait_for_itself() -> None:
    """Its process restarted; no other instance has ordered meanwhile."""
    holders = _Holders()
    holders.acquire_or_renew(holders.make('a'))
    again = holders.make('a')
    holders.acquire_or_renew(again)
    assert again.may_order()
    assert again.generation == 2


def test_a_renewal_with_a_lost_response_is_recognised() -> None:
    """The write took effect; reading it back shows who wrote it."""
    holders = _Holders()
    lease = holders.make('a')
    holders.acquire_or_renew(lease)
    holders.state.lose_next = 1
    holders.acquire_or_renew(lease)
    assert lease.may_order()
    holders.acquire_or_renew(lease)


def test_no_order_without_the_store() -> None:
    """A holder that can not renew may not send orders."""
    holders = _Holders()
    lease = holders.make('a')
    holders.acquire_or_renew(lease)
    holders.state.outage = True
    with pytest.raises(StoreUnavailableError):
        holders.acquire_or_renew(lease)
    holders.clock.advance(0.5)
    assert not lease.may_order()


def test_two_simultaneous_takeovers_wait_once() -> None:
    """All instances restarted, and briefly two act as the coordinator.

    The second takes the lease over while the first waits, sends no order and
    steps down. The first continues its own wait; if the wait started again,
    versions would be late by the same time again.
    """
    holders = _Holders()
    holders.acquire_or_renew(holders.make('before'))
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    holders.acquire_or_renew(second)
    second.release()
    holders.clock.advance(4)
    with pytest.raises(LeaseHeldError):
        holders.acquire_or_renew(first)
    holders.acquire_or_renew(first)
    assert first.may_order() or first.wait_seconds() == 0


def test_a_holder_that_sent_orders_is_always_waited_for() -> None:
    """An instance takes the lease back from one that could send orders.

    Its earlier wait does not cover those orders, so it waits again.
    """
    holders = _Holders()
    holders.acquire_or_renew(holders.make('before'))
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    holders.acquire_or_renew(second)
    holders.clock.advance(4)
    holders.acquire_or_renew(second)
    assert second.may_order()
    with pytest.raises(LeaseHeldError):
        holders.acquire_or_renew(first)
    holders.acquire_or_renew(first)
    assert first.wait_seconds() > _LEASE_SECONDS


def test_a_restart_during_a_wait_waits_again() -> None:
    """The process was killed while it waited for another instance's orders.

    The restarted process has the same instance id as the stored holder, but the
    other instance's orders are as recent as before.
    """
    holders = _Holders()
    holders.acquire_or_renew(holders.make('before'))
    holders.acquire_or_renew(holders.make('a'))
    holders.clock.advance(0.5)
    again = holders.make('a')
    holders.acquire_or_renew(again)
    assert not again.may_order()
    assert again.wait_seconds() > _LEASE_SECONDS


def test_two_tasks_share_one_lease() -> None:
    """One task loads versions and one scales samplers, at the same moment.

    Without the lock, their renewals conflict in the store. A task would treat
    the other's renewal as another holder's and give the lease up between
    orders.
    """
    holders = _Holders()
    lease = holders.make('a')
    holders.acquire_or_renew(lease)
    holders.clock.advance(2)
    tasks = [holders.clock.spawn(lease.acquire_or_renew) for _ in range(4)]
    holders.clock.run_until(lambda: all(each.ready() for each in tasks), 10)
    for task in tasks:
        task.get(block=False)
    assert lease.may_order()
    assert lease.generation == 1


def test_a_successor_reads_the_notes_of_its_predecessor() -> None:
    """The holder noted what it ordered, and was lost.

    Notes of a renewal that the store never took are not passed on.
    """
    holders = _Holders()
    first, second = holders.make('a'), holders.make('b')
    holders.acquire_or_renew(first)
    first.notes = {'zone-0': 8}
    holders.clock.advance(0.6)
    holders.acquire_or_renew(first)
    first.notes = {'zone-0': 9}
    holders.acquire_or_renew(second)
    assert second.notes == {'zone-0': 8}
    restarted = holders.make('b')
    holders.acquire_or_renew(restarted)
    assert restarted.notes == {'zone-0': 8}
