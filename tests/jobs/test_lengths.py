"""Estimating text lengths from completed texts."""

import pytest

from guavagate.jobs._work import ItemProgress
from tests.jobs.samplers import MODEL
from tests.jobs.test_forecast import make_lengths, make_work


def _make_progress(tokens: int) -> ItemProgress:
    """Return an item without any text yet."""
    return next(iter(make_work('a', tokens=tokens).items.values()))


def test_estimates_are_scaled_by_completed_texts() -> None:
    """Trainers estimate tokens; samplers send events of several tokens."""
    lengths = make_lengths(events=25, tokens=1000)
    progress = _make_progress(600)
    assert lengths.estimate(MODEL, progress).typical == pytest.approx(15)


def test_a_text_beyond_its_estimate_has_some_length_left() -> None:
    """The estimate was wrong, so the text is not about to end."""
    lengths = make_lengths(events=25, tokens=1000)
    progress = _make_progress(600)
    progress.text.last_number = 40
    assert lengths.estimate(MODEL, progress).typical > 0


def test_estimates_are_capped_by_the_longest_text() -> None:
    """An estimate is far too high, and texts have a length limit."""
    lengths = make_lengths(events=25, tokens=1000)
    progress = _make_progress(20000)
    assert lengths.estimate(MODEL, progress).conservative == 25


def test_texts_without_an_estimate_may_be_long() -> None:
    """Otherwise they start last, and the long ones among them are late."""
    lengths = make_lengths(events=25, tokens=0)
    work = make_work('seen', tokens=0, groups=10, size=1)
    for progress in work.items.values():
        progress.text.last_number = 120
        lengths.record(MODEL, progress)
    length = lengths.estimate(MODEL, _make_progress(0))
    assert length.conservative == 60
    assert 25 < length.typical < 60
