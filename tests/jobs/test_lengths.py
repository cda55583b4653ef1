"""What is expected of texts, by those that have ended."""

import pytest

from guavagate.jobs._work import ItemProgress
from tests.jobs.samplers import MODEL
from tests.jobs.test_forecast import make_lengths, make_work


def _make_progress(tokens: int) -> ItemProgress:
    """Return an item of which nothing is made yet."""
    return next(iter(make_work('a', tokens=tokens).items.values()))


def test_an_estimate_counts_by_what_its_tokens_came_to() -> None:
    """Trainers count tokens, samplers send events of several."""
    lengths = make_lengths(events=25, tokens=1000)
    progress = _make_progress(600)
    assert lengths.estimate(MODEL, progress).typical == pytest.approx(15)


def test_a_text_beyond_its_estimate_is_not_taken_for_done() -> None:
    """The estimate was wrong; some more is to be expected."""
    lengths = make_lengths(events=25, tokens=1000)
    progress = _make_progress(600)
    progress.text.last_number = 40
    assert lengths.estimate(MODEL, progress).typical > 0


def test_no_text_is_expected_to_be_longer_than_any_was() -> None:
    """An estimate is ten times too high, and texts have a limit."""
    lengths = make_lengths(events=25, tokens=1000)
    progress = _make_progress(20000)
    assert lengths.estimate(MODEL, progress).conservative == 25


def test_texts_without_an_estimate_may_be_long_ones() -> None:
    """Else they would start last, and the long ones among them be late."""
    lengths = make_lengths(events=25, tokens=0)
    work = make_work('seen', tokens=0, groups=10, size=1)
    for progress in work.items.values():
        progress.text.last_number = 120
        lengths.record(MODEL, progress)
    length = lengths.estimate(MODEL, _make_progress(0))
    assert length.conservative == 60
    assert 25 < length.typical < 60
