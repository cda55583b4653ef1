"""Counts of usage while messages come twice, late, or not at all."""

from guavagate.duties import UsageCounter, UsageTotals
from guavagate.models import InstanceId, TeamId

_BLUE = TeamId('blue')
_RED = TeamId('red')
_PEER = InstanceId('reporter')
_OTHER = InstanceId('successor')


def test_a_total_that_comes_twice_adds_nothing() -> None:
    """An answer was lost, and the entry tells it again."""
    totals = UsageTotals()
    for _ in range(3):
        totals.update('a/1', {7: {_BLUE: 2}})
    totals.update('b/1', {7: {_BLUE: 1, _RED: 4}})
    assert totals.sum_window(7) == {_BLUE: 3, _RED: 4}


def test_a_total_that_comes_late_takes_nothing_away() -> None:
    """Two messages of one entry overtake each other."""
    totals = UsageTotals()
    totals.update('a/1', {7: {_BLUE: 3}})
    totals.update('a/1', {7: {_BLUE: 2}})
    assert totals.sum_window(7) == {_BLUE: 3}


def test_an_entry_that_starts_again_counts_besides() -> None:
    """Its former process had told two requests, and was killed."""
    totals = UsageTotals()
    totals.update('a/1', {7: {_BLUE: 2}})
    totals.update('a/2', {7: {_BLUE: 1}})
    assert totals.sum_window(7) == {_BLUE: 3}


def test_nothing_was_told_of_a_window() -> None:
    """That is not the same as no requests."""
    totals = UsageTotals()
    totals.update('a/1', {7: {_BLUE: 2}})
    assert totals.has_window(7)
    assert not totals.has_window(6)
    totals.discard_before(8)
    assert not totals.has_window(7)


def test_requests_are_counted_where_they_began() -> None:
    """One that began before a window's end ends after it."""
    counter = UsageCounter(5.0)
    counter.record(_BLUE, 34.9)
    counter.record(_BLUE, 35.0)
    counter.record(_RED, 39.99)
    assert counter.list_unconfirmed(_PEER) == {
        6: {_BLUE: 1},
        7: {_BLUE: 1, _RED: 1},
    }


def test_only_what_is_new_is_told_to_each() -> None:
    """The reporter took it; its successor did not answer."""
    counter = UsageCounter(5.0)
    counter.record(_BLUE, 35)
    counter.confirm(_PEER, counter.list_unconfirmed(_PEER))
    assert not counter.list_unconfirmed(_PEER)
    assert counter.list_unconfirmed(_OTHER) == {7: {_BLUE: 1}}
    counter.record(_BLUE, 36)
    assert counter.list_unconfirmed(_PEER) == {7: {_BLUE: 2}}


def test_a_reporter_that_comes_back_is_told_all_again() -> None:
    """It was lost and has started again with nothing."""
    counter = UsageCounter(5.0)
    counter.record(_BLUE, 35)
    counter.confirm(_PEER, counter.list_unconfirmed(_PEER))
    counter.retain({_OTHER})
    assert counter.list_unconfirmed(_PEER) == {7: {_BLUE: 1}}


def test_a_day_of_windows_takes_no_memory() -> None:
    """What nobody will report any more is let go."""
    counter = UsageCounter(5.0)
    for window in range(1000):
        counter.record(_BLUE, window * 5.0)
    assert len(counter.list_unconfirmed(_PEER)) < 20
