"""Which connections are closed to make room, judged without a network."""

import math

import pytest

from guavagate.admission import (
    ConnectionAccount,
    ConnectionLedger,
    MemoryBudget,
)
from guavagate.admission._connections import (
    REQUEST_DESCRIPTORS,
    SLOW_SECONDS,
)
from guavagate.admission._entry import compute_caller_descriptors
from guavagate.admission._memory import CONNECTION_BYTES, REQUEST_BYTES
from guavagate.clock import PausedClock
from guavagate.http1 import Phase

_BUDGET = 10_000_000
_ANSWER = 3_000_000


class _Connection:
    """A connection that records how it was closed, and releases at once."""

    def __init__(self, bench: '_Bench', name: str) -> None:
        self._bench = bench
        self.name = name
        self.has_data = False
        account = bench.ledger.open()
        assert account is not None
        self.account: ConnectionAccount = account
        account.bind(self)

    def is_idle(self) -> bool:
        """Return whether no request has arrived."""
        return not self.has_data

    def close_idle(self) -> None:
        """Record that it was closed while it was idle."""
        self._bench.closed.append(f'{self.name} idle')
        self._release()

    def cut_off(self) -> None:
        """Record that it was reset."""
        self._bench.closed.append(f'{self.name} reset')
        self._release()

    def _release(self) -> None:
        if self._bench.releases:
            self.account.close()


class _Bench:
    def __init__(self, descriptors: float = math.inf) -> None:
        self.clock = PausedClock()
        self.budget = MemoryBudget(_BUDGET)
        self.ledger = ConnectionLedger(self.clock, self.budget, descriptors)
        self.closed: list[str] = []
        self.releases = True

    def connect(self, name: str, phase: Phase, answer: int = 0) -> _Connection:
        """Return a connection in a phase; each is a second younger."""
        connection = _Connection(self, name)
        connection.account.enter(phase)
        connection.account.hold_answer(answer)
        self.clock.advance(1)
        return connection


def test_idle_connections_are_closed_first_and_the_oldest_of_them() -> None:
    """They hold no request, so their callers lose nothing."""
    bench = _Bench(descriptors=4)
    bench.connect('receiving', Phase.RECEIVING)
    for name in ('busy', 'old', 'new'):
        bench.connect(name, Phase.IDLE).has_data = name == 'busy'
    bench.clock.advance(60)
    bench.connect('newest', Phase.RUNNING)
    assert bench.closed == ['old idle']


def test_the_one_that_was_waited_for_longest_makes_room() -> None:
    """A caller that moves a byte now and then must not gain by it."""
    bench = _Bench()
    dripping = bench.connect('dripping', Phase.RUNNING, _ANSWER)
    bench.connect('later', Phase.RUNNING, _ANSWER)
    bench.clock.advance(SLOW_SECONDS)
    dripping.account.hold_answer(_ANSWER - 1)
    bench.connect('third', Phase.RUNNING, _ANSWER)
    bench.connect('fourth', Phase.RUNNING, _ANSWER)
    assert bench.closed == ['dripping reset']
    assert bench.budget.held <= _BUDGET


def test_a_running_request_is_never_closed() -> None:
    """Its upstream works on it, and its caller does what it should."""
    bench = _Bench(descriptors=1 + REQUEST_DESCRIPTORS)
    running = bench.connect('running', Phase.RUNNING)
    assert running.account.admit_request()
    bench.clock.advance(3600)
    assert bench.ledger.open() is None
    assert not bench.closed


def test_a_new_body_ends_only_bodies_that_take_long() -> None:
    """Otherwise one large body would end another that is on its way."""
    bench = _Bench()
    first = bench.connect('first', Phase.RECEIVING)
    assert first.account.admit_body(5_000_000)
    second = bench.connect('second', Phase.RECEIVING)
    assert not second.account.admit_body(5_000_000)
    assert not bench.closed
    bench.clock.advance(SLOW_SECONDS)
    assert second.account.admit_body(5_000_000)
    assert bench.closed == ['first reset']


@pytest.mark.parametrize('phase', [Phase.RECEIVING, Phase.CLOSING])
def test_what_is_refused_or_closed_still_counts(phase: Phase) -> None:
    """A refused client that sends on was counted no longer, and held on."""
    bench = _Bench()
    bench.connect('one', phase)
    assert bench.budget.held == CONNECTION_BYTES + REQUEST_BYTES


def test_data_behind_a_running_request_counts_and_makes_room() -> None:
    """The kernel holds what is sent ahead; it is the caller's own doing."""
    bench = _Bench(descriptors=1)
    ahead = bench.connect('ahead', Phase.RUNNING)
    before = bench.budget.held
    ahead.account.hold_unread(100_000)
    assert bench.budget.held == before + 100_000
    bench.clock.advance(SLOW_SECONDS)
    bench.connect('next', Phase.RUNNING)
    assert bench.closed == ['ahead reset']


def test_a_body_that_finds_no_room_is_refused_and_not_closed() -> None:
    """It has been waited for longest itself; its caller is owed an answer."""
    bench = _Bench()
    bench.connect('running', Phase.RUNNING).account.hold_body(5_000_000)
    slow = bench.connect('slow', Phase.RECEIVING)
    assert slow.account.admit_body(1_000_000)
    bench.clock.advance(60)
    assert not slow.account.admit_body(6_000_000)
    assert not bench.closed


def test_nobody_is_closed_for_what_does_not_fit_even_so() -> None:
    """A large body closed all idle connections, and was refused after all."""
    bench = _Bench()
    for name in ('idle', 'idle too'):
        bench.connect(name, Phase.IDLE)
    bench.connect('running', Phase.RUNNING).account.hold_body(9_000_000)
    bench.clock.advance(60)
    large = bench.connect('large', Phase.RECEIVING)
    assert not large.account.admit_body(3_000_000)
    assert not bench.closed


def test_an_answer_closes_what_it_can_though_it_is_not_enough() -> None:
    """It is held in any case; each byte that others give back counts."""
    bench = _Bench()
    bench.connect('running', Phase.RUNNING).account.hold_body(9_000_000)
    bench.connect('slow', Phase.RUNNING, _ANSWER // 10)
    bench.connect('own', Phase.RUNNING, _ANSWER)
    assert bench.closed == ['slow reset']


def test_memory_comes_from_waiting_callers_before_idle_ones() -> None:
    """A hundred idle connections would be closed for a single answer."""
    bench = _Bench()
    for _ in range(3):
        bench.connect('idle', Phase.IDLE)
    bench.connect('slow', Phase.RUNNING, 3 * _ANSWER)
    bench.connect('next', Phase.RUNNING, _ANSWER)
    assert bench.closed == ['slow reset']


def test_what_a_closed_connection_held_counts_until_it_is_released() -> None:
    """Its task ends some iterations later; memory taken before is over."""
    bench = _Bench()
    bench.releases = False
    bench.connect('slow', Phase.RUNNING, 9_000_000)
    assert not bench.ledger.make_room_for_answers(5_000_000)
    assert not bench.ledger.make_room_for_answers(5_000_000)
    assert bench.closed == ['slow reset']
    assert bench.budget.held > 9_000_000


def test_a_single_large_body_is_served_by_a_small_instance() -> None:
    """It is larger than the share of large bodies, and alone."""
    bench = _Bench()
    only = bench.connect('only', Phase.RECEIVING)
    assert only.account.admit_body(7_500_000)
    other = bench.connect('other', Phase.RECEIVING)
    assert not other.account.admit_body(7_500_000)


def test_a_single_large_job_is_served_by_a_small_instance() -> None:
    """Its copies are estimated at five times its size, over the budget."""
    bench = _Bench()
    only = bench.connect('only', Phase.RUNNING)
    assert only.account.admit_copies(5 * _ANSWER)
    other = bench.connect('other', Phase.RUNNING)
    assert not other.account.admit_copies(_ANSWER)
    only.account.end_request()
    assert other.account.admit_copies(_ANSWER)


def test_an_account_leaves_nothing_behind() -> None:
    """A leak of either figure would refuse everybody in the end."""
    bench = _Bench()
    connection = bench.connect('one', Phase.RECEIVING)
    account = connection.account
    assert account.admit_request()
    assert account.admit_body(1000)
    account.hold_answer(2000)
    account.end_request()
    assert bench.budget.held == CONNECTION_BYTES
    assert bench.ledger.descriptors == 1
    account.evict()
    account.close()
    assert (bench.budget.held, bench.budget.leaving) == (0, 0)
    ledger = bench.ledger
    assert (ledger.descriptors, ledger.leaving_descriptors) == (0, 0)


def test_half_of_the_descriptors_are_for_callers() -> None:
    """The store, peers and idle connections to upstreams need the rest."""
    assert compute_caller_descriptors(0) == math.inf
    assert compute_caller_descriptors(1200) == 500
    assert compute_caller_descriptors(100) == 1
