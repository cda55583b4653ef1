"""The lease for orders while holders pause, restart and lose answers."""

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
    """Instances that may hold one lease, and tell each other of it."""

    def __init__(self) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.state = self.world.store

    def make(self, name: str) -> Lease:
        """Start an instance, or start it again, and return its side."""
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

    def secure(self, lease: Lease) -> None:
        """Secure a lease in virtual time."""
        task = self.clock.spawn(lease.acquire_or_renew)
        self.clock.run_until(task.ready, 30)
        task.get(block=False)


def test_the_first_holder_may_order_at_once() -> None:
    """Nobody held the lease before, so nobody has to be waited out."""
    held = _Holders()
    lease = held.make('a')
    held.secure(lease)
    assert lease.may_order()
    assert lease.generation == 1


def test_a_successor_waits_out_its_predecessor() -> None:
    """The holder sent an order just before its lease was taken over.

    Samplers that check no generation would see two holders within one lease
    time. The successor's first order comes later than that, however late the
    predecessor's last one was allowed.
    """
    held = _Holders()
    first, second = held.make('a'), held.make('b')
    held.secure(first)
    held.secure(second)
    taken = held.clock.now()
    assert second.generation == 2
    last = taken
    while not second.may_order():
        if first.may_order():
            last = held.clock.now()
        held.clock.advance(0.05)
        held.secure(second)
    assert held.clock.now() - last >= _LEASE_SECONDS
    assert not first.may_order()


def _pass_time(held: _Holders, holder: Lease, seconds: float) -> float:
    """Let time pass; return when the holder could have ordered last."""
    until = held.clock.now() + seconds
    last = held.clock.now()
    while held.clock.now() < until:
        if holder.may_order():
            last = held.clock.now()
        held.clock.advance(0.05)
    return last


def _await_order(held: _Holders, lease: Lease) -> float:
    """Take over; return when the first order may be sent."""
    held.secure(lease)
    while not lease.may_order():
        held.clock.advance(0.05)
        held.secure(lease)
    return held.clock.now()


def test_a_successor_that_heard_of_the_last_renewal_waits_less() -> None:
    """The holder ordered two seconds ago, and is killed.

    The store does not tell when it ordered. Waiting out the whole time from
    the takeover leaves steps without the weights that they ask for, two
    seconds longer than need be.
    """
    held = _Holders()
    first, second = held.make('a'), held.make('b')
    held.secure(first)
    last = _pass_time(held, first, 2)
    taken = held.clock.now()
    ordered = _await_order(held, second)
    assert ordered - last >= _LEASE_SECONDS
    assert ordered - taken < 2.1


def test_a_renewal_that_was_not_heard_of_is_waited_out() -> None:
    """The successor was cut off from the holder when that renewed again.

    What it heard before is older than the last order.
    """
    held = _Holders()
    first, second = held.make('a'), held.make('b')
    held.secure(first)
    held.clock.advance(2)
    one, two = InstanceId('a'), InstanceId('b')
    held.world.network.blocked |= {(one, two), (two, one)}
    held.secure(first)
    last = _pass_time(held, first, 0.6)
    assert _await_order(held, second) - last >= _LEASE_SECONDS


def test_a_holder_killed_as_it_renews_has_told_of_it() -> None:
    """Its write takes effect, and the process is gone before the answer.

    The successor heard of the renewal that is in the store, so it does not
    wait the whole time.
    """
    held = _Holders()
    first, second = held.make('a'), held.make('b')
    held.secure(first)
    held.clock.advance(2)
    task = held.clock.spawn(first.acquire_or_renew)
    held.state.lose_next = 1
    before = held.state.revision
    held.clock.run_until(lambda: held.state.revision > before, 1)
    task.kill(block=False)
    held.clock.advance(1)
    taken = held.clock.now()
    assert _await_order(held, second) - taken < 3


def test_a_takeover_in_a_wait_counts_what_was_waited_for() -> None:
    """One takes over and is killed while it waits; the next one heard of it.

    It has ordered nothing, but the holder before it has, just before.
    """
    held = _Holders()
    first, second, third = held.make('a'), held.make('b'), held.make('c')
    held.secure(first)
    held.secure(second)
    last = _pass_time(held, first, 1)
    assert _await_order(held, third) - last >= _LEASE_SECONDS


def test_the_last_holder_is_known_from_the_store() -> None:
    """After a restart of all, nobody remembers who ordered."""
    held = _Holders()
    held.secure(held.make('a'))
    held.secure(held.make('b'))
    store = MemoryStore(held.clock, held.state)
    task = held.clock.spawn(list_holders, store)
    held.clock.run_until(task.ready, 5)
    assert task.get(block=False) == {'llm': 'b'}


def test_a_former_holder_can_not_renew() -> None:
    """It was paused while another took over, and wakes."""
    held = _Holders()
    first, second = held.make('a'), held.make('b')
    held.secure(first)
    held.secure(second)
    with pytest.raises(LeaseHeldError):
        held.secure(first)
    assert not first.may_order()


def test_a_renewal_is_good_for_a_moment_only() -> None:
    """A holder that was suspended counts the time that it missed."""
    held = _Holders()
    lease = held.make('a')
    held.secure(lease)
    for _ in range(2):
        assert lease.may_order()
        held.clock.advance(0.6)
        assert not lease.may_order()
        held.secure(lease)


def test_the_same_machine_need_not_wait_for_itself() -> None:
    """Its process restarted; no other machine has ordered meanwhile."""
    held = _Holders()
    held.secure(held.make('a'))
    again = held.make('a')
    held.secure(again)
    assert again.may_order()
    assert again.generation == 2


def test_a_renewal_whose_answer_was_lost_is_ours() -> None:
    """The write took effect; reading back tells whose it is."""
    held = _Holders()
    lease = held.make('a')
    held.secure(lease)
    held.state.lose_next = 1
    held.secure(lease)
    assert lease.may_order()
    held.secure(lease)


def test_no_order_without_the_store() -> None:
    """A holder that can not renew does not order."""
    held = _Holders()
    lease = held.make('a')
    held.secure(lease)
    held.state.outage = True
    with pytest.raises(StoreUnavailableError):
        held.secure(lease)
    held.clock.advance(0.5)
    assert not lease.may_order()


def test_two_that_take_it_at_once_wait_once() -> None:
    """All instances restarted, and for a moment two believe to coordinate.

    The second takes the lease over while the first waits, orders nothing and
    steps down. The first goes on with its own wait; anew, versions would come
    as late again.
    """
    held = _Holders()
    held.secure(held.make('before'))
    first, second = held.make('a'), held.make('b')
    held.secure(first)
    held.secure(second)
    second.release()
    held.clock.advance(4)
    with pytest.raises(LeaseHeldError):
        held.secure(first)
    held.secure(first)
    assert first.may_order() or first.wait_seconds() == 0


def test_a_holder_that_ordered_is_always_waited_out() -> None:
    """The one in between did order before it stepped down."""
    held = _Holders()
    held.secure(held.make('before'))
    first, second = held.make('a'), held.make('b')
    held.secure(first)
    held.secure(second)
    held.clock.advance(4)
    held.secure(second)
    assert second.may_order()
    with pytest.raises(LeaseHeldError):
        held.secure(first)
    held.secure(first)
    assert first.wait_seconds() > _LEASE_SECONDS


def test_a_restart_in_the_middle_of_a_wait_waits_again() -> None:
    """The process was killed while it waited out another machine's orders.

    Its successor on the same machine has the same holder's name, but the
    other machine's orders are as recent as before.
    """
    held = _Holders()
    held.secure(held.make('before'))
    held.secure(held.make('a'))
    held.clock.advance(0.5)
    again = held.make('a')
    held.secure(again)
    assert not again.may_order()
    assert again.wait_seconds() > _LEASE_SECONDS


def test_two_tasks_share_one_lease() -> None:
    """One orders versions and one orders samplers, at the same moment.

    The renewal of one would meet that of the other in the store, and be taken
    for another holder's: the lease would be given up in the middle of orders.
    """
    held = _Holders()
    lease = held.make('a')
    held.secure(lease)
    held.clock.advance(2)
    tasks = [held.clock.spawn(lease.acquire_or_renew) for _ in range(4)]
    held.clock.run_until(lambda: all(each.ready() for each in tasks), 10)
    for task in tasks:
        task.get(block=False)
    assert lease.may_order()
    assert lease.generation == 1
