"""Requests of entries to upstreams with a warm-up."""

import logging

import pytest

from guavagate.exceptions import UpstreamNotStartedError
from guavagate.models import UpstreamId
from guavagate.routing import Obstacle
from guavagate.warmup import AskWarmup
from tests.warmup.common import MAX_PER_SECOND, find_most
from tests.warmup.fleet import SERVICE, Fleet

_X = UpstreamId('x')


def test_warm_upstreams_come_first() -> None:
    """The cold one would be the better one by its load."""
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    fleet.register('y', cold_for=0)
    entry = fleet.entries[0]
    entry.table.load(UpstreamId('y')).in_flight = 6
    assert [entry.choose() for _ in range(4)] == ['y'] * 4
    entry.table.load(UpstreamId('y')).in_flight = 8
    assert entry.choose() == 'x'


def test_a_request_is_refused_at_once_if_no_cold_upstream_may_take_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """It would otherwise wait, or be sent in spite of the limit.

    Callers that are refused together return one after the other.
    """
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    entry = fleet.entries[0]
    sent = [entry.choose() for _ in range(12)]
    assert sent == ['x'] * 8 + [None] * 4
    assert entry.table.explain(SERVICE) is Obstacle.WARMING_UP
    waits = []
    for each in fleet.entries:
        assert each.choose() is None
        waits.append(each.table.compute_retry_after(SERVICE))
    assert waits[0] > 0.5
    assert waits[0] < waits[1] <= 4
    assert sum('GG8067' in each for each in caplog.messages) == 6
    fleet.clock.advance(0.1)
    assert entry.table.explain(SERVICE) is None
    fleet.clock.advance(1.2)
    assert entry.choose() == 'x'


def test_a_hedge_never_goes_to_a_cold_upstream() -> None:
    """Neither if only the holder has heard that it is cold."""
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    fleet.register('y', cold_for=0)
    entry = fleet.entries[0]
    assert entry.choose(hedge=True, tried='y') is None
    upstream = fleet.holder.table.get(UpstreamId('y'))
    assert upstream is not None
    fleet.holder.budgets._cold.record_health(upstream.id, 3, fleet.clock.now())
    assert entry.choose(hedge=True) is None
    assert entry.table.explain(SERVICE) is None
    assert entry.choose() is not None


def test_an_entry_cut_off_from_the_holder_sends_nothing_to_a_cold_upstream(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The others use up the budget, which the entry does not know.

    A warm one gets a request now and then, so that the entry goes on.
    """
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    entry = fleet.entries[0]
    fleet.cut(entry)
    with caplog.at_level(logging.WARNING):
        assert [entry.choose() for _ in range(20)] == [None] * 20
    assert any('GG8068' in each for each in caplog.messages)
    assert fleet.entries[1].choose() == 'x'
    fleet.register('x', cold_for=0)
    assert [entry.choose() for _ in range(3)] == ['x', None, None]


def test_an_instance_that_is_not_the_holder_grants_nothing() -> None:
    """An entry with an old view of the members asks the wrong instance."""
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    entry = fleet.entries[0]
    entry.turns.order = [fleet.entries[1].turns.me]
    assert entry.choose() is None


def test_a_new_holder_grants_no_cold_upstream_in_its_first_second() -> None:
    """The former holder was lost in the second in which it granted 8 starts."""
    fleet = Fleet()
    fleet.register('x', cold_for=9)
    entry = fleet.entries[0]
    assert [entry.choose() for _ in range(8)] == ['x'] * 8
    fleet.world.kill('h')
    order = [fleet.successor.turns.me]
    for each in fleet.all:
        each.turns.order = order
    assert [entry.choose() for _ in range(8)] == [None] * 8
    fleet.clock.advance(1.2)
    assert entry.choose() == 'x'


def test_two_holders_at_once_stay_below_the_bound() -> None:
    """The fleet is cut in two, and each part has a holder."""
    fleet = Fleet()
    fleet.register('x', cold_for=9)
    left, right = fleet.entries
    right.turns.order = [fleet.successor.turns.me]
    fleet.successor.turns.order = right.turns.order
    for _ in range(150):
        left.send()
        right.send()
        fleet.clock.advance(0.02)
    assert 14 <= find_most(fleet.starts['x']) <= MAX_PER_SECOND
    fleet.register('x', cold_for=0)
    for _ in range(150):
        left.send()
        right.send()
        fleet.clock.advance(0.02)
    assert find_most(fleet.starts['x']) <= MAX_PER_SECOND


def test_items_and_requests_share_one_budget() -> None:
    """With one for each, a cold sampler would get twice its rate."""
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    now = fleet.clock.now()
    assert sum(fleet.holder.starts.start(_X, now) for _ in range(5)) == 5
    sent = [fleet.entries[0].choose() for _ in range(6)]
    assert sent.count(_X) == 3


def test_a_path_that_asks_nobody_is_stopped() -> None:
    """A new path that does not ask would send past the limit."""
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    table = fleet.entries[0].table
    upstream = table.get(_X)
    assert upstream is not None
    table.check(upstream)
    with pytest.raises(UpstreamNotStartedError, match='warming up'):
        table.check(upstream, starts=True)


def test_a_service_without_a_warm_up_asks_nobody() -> None:
    """Each request would otherwise take a message more."""
    fleet = Fleet(warmup=None)
    fleet.register('x', cold_for=3)
    fleet.cut(fleet.entries[0])
    assert [fleet.entries[0].choose() for _ in range(40)] == ['x'] * 40
    assert not fleet.world.network.messages['AskWarmup']


def test_an_ejected_upstream_is_not_offered() -> None:
    """The other one may take no request now, so the holder takes the next."""
    fleet = Fleet()
    fleet.register('x', cold_for=3)
    fleet.register('y', cold_for=3)
    entry = fleet.entries[0]
    until = fleet.clock.now() + 9
    entry.table.load(UpstreamId('y')).ejected_until = until
    sent = [entry.choose() for _ in range(12)]
    assert sent == ['x'] * 8 + [None] * 4


def test_an_instance_that_has_just_started_grants_nothing() -> None:
    """Until it knows the members it is the first of those that it knows."""
    fleet = Fleet()
    fleet.register('x', cold_for=0)
    fleet.holder.turns.ready = False
    fleet.holder.budgets.refresh()
    message = AskWarmup(service=SERVICE, upstreams=(_X,))
    assert not fleet.holder.budgets.ask(message).holder
    fleet.holder.turns.ready = True
    assert fleet.holder.budgets.ask(message).granted == _X
