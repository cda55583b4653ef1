"""Counts of usage while messages come twice, late, or not at all."""

from guavagate.duties import UsageBook, UsageTally
from guavagate.models import InstanceId, TeamId

_BLUE = TeamId('blue')
_RED = TeamId('red')
_PEER = InstanceId('reporter')
_OTHER = InstanceId('successor')


def test_a_total_that_comes_twice_adds_nothing() -> None:
    """An answer was lost, and the entry tells it again."""
    book = UsageBook()
    for _ in range(3):
        book.take('a/1', {7: {_BLUE: 2}})
    book.take('b/1', {7: {_BLUE: 1, _RED: 4}})
    assert book.add_up(7) == {_BLUE: 3, _RED: 4}


def test_a_total_that_comes_late_takes_nothing_away() -> None:
    """Two messages of one entry overtake each other."""
    book = UsageBook()
    book.take('a/1', {7: {_BLUE: 3}})
    book.take('a/1', {7: {_BLUE: 2}})
    assert book.add_up(7) == {_BLUE: 3}


def test_an_entry_that_starts_again_counts_besides() -> None:
    """Its former process had told two requests, and was killed."""
    book = UsageBook()
    book.take('a/1', {7: {_BLUE: 2}})
    book.take('a/2', {7: {_BLUE: 1}})
    assert book.add_up(7) == {_BLUE: 3}


def test_nothing_was_told_of_a_window() -> None:
    """That is not the same as no requests."""
    book = UsageBook()
    book.take('a/1', {7: {_BLUE: 2}})
    assert book.knows(7)
    assert not book.knows(6)
    book.forget_before(8)
    assert not book.knows(7)


def test_requests_are_counted_where_they_began() -> None:
    """One that began before a window's end ends after it."""
    tally = UsageTally(5.0)
    tally.note(_BLUE, 34.9)
    tally.note(_BLUE, 35.0)
    tally.note(_RED, 39.99)
    assert tally.list_news(_PEER) == {6: {_BLUE: 1}, 7: {_BLUE: 1, _RED: 1}}


def test_only_what_is_new_is_told_to_each() -> None:
    """The reporter took it; its successor did not answer."""
    tally = UsageTally(5.0)
    tally.note(_BLUE, 35)
    tally.note_taken(_PEER, tally.list_news(_PEER))
    assert not tally.list_news(_PEER)
    assert tally.list_news(_OTHER) == {7: {_BLUE: 1}}
    tally.note(_BLUE, 36)
    assert tally.list_news(_PEER) == {7: {_BLUE: 2}}


def test_a_reporter_that_comes_back_is_told_all_again() -> None:
    """It was lost and has started again with nothing."""
    tally = UsageTally(5.0)
    tally.note(_BLUE, 35)
    tally.note_taken(_PEER, tally.list_news(_PEER))
    tally.forget({_OTHER})
    assert tally.list_news(_PEER) == {7: {_BLUE: 1}}


def test_a_day_of_windows_takes_no_memory() -> None:
    """What nobody will report any more is let go."""
    tally = UsageTally(5.0)
    for window in range(1000):
        tally.note(_BLUE, window * 5.0)
    assert len(tally.list_news(_PEER)) < 20
