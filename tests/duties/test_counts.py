"""Usage counts while messages are repeated, late or lost."""

from guavagate.duties import UsageCounter, UsageTotals
from guavagate.models import InstanceId, TeamId

_BLUE = TeamId('blue')
_RED = TeamId('red')
_PEER = InstanceId('reporter')
_OTHER = InstanceId('successor')


def test_a_repeated_total_adds_nothing() -> None:
    """A response was lost, and the entry sends the total again."""
    totals = UsageTotals()
    for _ in range(3):
        totals.update('a/1', {7: {_BLUE: 2}})
    totals.update('b/1', {7: {_BLUE: 1, _RED: 4}})
    assert totals.sum_window(7) == {_BLUE: 3, _RED: 4}


def test_a_late_total_is_ignored() -> None:
    """Two messages of one entry arrive out of order."""
    totals = UsageTotals()
    totals.update('a/1', {7: {_BLUE: 3}})
    totals.update('a/1', {7: {_BLUE: 2}})
    assert totals.sum_window(7) == {_BLUE: 3}


def test_a_restarted_entry_is_counted_separately() -> None:
    """Its previous process had sent two requests, and was killed."""
    totals = UsageTotals()
    totals.update('a/1', {7: {_BLUE: 2}})
    totals.update('a/2', {7: {_BLUE: 1}})
    assert totals.sum_window(7) == {_BLUE: 3}


def test_a_window_without_totals_is_unknown() -> None:
    """An unknown window differs from one without requests."""
    totals = UsageTotals()
    totals.update('a/1', {7: {_BLUE: 2}})
    assert totals.has_window(7)
    assert not totals.has_window(6)
    totals.discard_before(8)
    assert not totals.has_window(7)


def test_requests_are_counted_in_the_window_where_they_began() -> None:
    """One request begins just before the end of a window."""
    counter = UsageCounter(5.0)
    counter.record(_BLUE, 34.9)
    counter.record(_BLUE, 35.0)
    counter.record(_RED, 39.99)
    assert counter.list_unconfirmed(_PEER) == {
        6: {_BLUE: 1},
        7: {_BLUE: 1, _RED: 1},
    }


def test_each_peer_gets_only_unconfirmed_windows() -> None:
    """The reporter confirmed a window; its successor did not respond."""
    counter = UsageCounter(5.0)
    counter.record(_BLUE, 35)
    counter.confirm(_PEER, counter.list_unconfirmed(_PEER))
    assert not counter.list_unconfirmed(_PEER)
    assert counter.list_unconfirmed(_OTHER) == {7: {_BLUE: 1}}
    counter.record(_BLUE, 36)
    assert counter.list_unconfirmed(_PEER) == {7: {_BLUE: 2}}


def test_a_returning_reporter_gets_all_windows_again() -> None:
    """It was lost and has restarted without any counts."""
    counter = UsageCounter(5.0)
    counter.record(_BLUE, 35)
    counter.confirm(_PEER, counter.list_unconfirmed(_PEER))
    counter.retain({_OTHER})
    assert counter.list_unconfirmed(_PEER) == {7: {_BLUE: 1}}


def test_old_windows_are_discarded() -> None:
    """Windows that can no longer be reported must not take memory."""
    counter = UsageCounter(5.0)
    for window in range(1000):
        counter.record(_BLUE, window * 5.0)
    assert len(counter.list_unconfirmed(_PEER)) < 20
