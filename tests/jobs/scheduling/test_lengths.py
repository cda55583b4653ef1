"""Estimating text lengths from completed texts."""

import random

import msgspec
import pytest

from guavagate.jobs._work import ItemProgress
from guavagate.jobs.scheduling._lengths import LengthEstimator
from tests.jobs.samplers import MODEL
from tests.jobs.scheduling.test_forecast import make_lengths, make_work


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


def _record(lengths: LengthEstimator, texts: list[tuple[int, int]]) -> None:
    """Record completed texts: their events and estimated tokens."""
    for events, tokens in texts:
        progress = _make_progress(tokens)
        progress.text.last_number = events
        lengths.record(MODEL, progress)


def _draw_lengths(count: int) -> list[int]:
    """Return lengths of which a twelfth is about five times the others."""
    rng = random.Random(1)
    return [
        rng.randint(50, 150) if number % 12 == 0 else rng.randint(6, 26)
        for number in range(count)
    ]


def _estimate(
    lengths: LengthEstimator, done: int, tokens: int = 0
) -> tuple[float, float]:
    progress = _make_progress(tokens)
    progress.text.last_number = done
    remaining = lengths.estimate(MODEL, progress)
    return remaining.typical, remaining.conservative


@pytest.mark.parametrize('tokens', [0, 1700])
def test_a_text_longer_than_most_is_a_long_one(tokens: int) -> None:
    """One of 40 events has no estimate, or one of 20 events.

    It is treated as nearly done, so it stays on a slow sampler although fast
    slots are free, and its step is late by the two seconds that this costs.
    """
    lengths = LengthEstimator()
    drawn = _draw_lengths(240)
    _record(lengths, [(events, 85 * events) for events in drawn])
    longer = [events for events in drawn if events > 40]
    expected = sum(longer) / len(longer) - 40
    assert expected > 50
    typical, conservative = _estimate(lengths, 40, tokens)
    assert typical == pytest.approx(expected)
    assert conservative >= typical


def test_long_texts_are_assumed_before_any_has_completed() -> None:
    """Of the first texts after a start, the short ones complete first.

    The texts that are still running are longer than all completed ones. That
    they are nearly done would be wrong for each of them.
    """
    lengths = LengthEstimator()
    _record(
        lengths, [(events, 0) for events in _draw_lengths(60) if events < 30]
    )
    assert _estimate(lengths, 30)[0] > 25


def test_a_text_without_an_estimate_may_be_long_at_the_start() -> None:
    """No text has completed yet; it must not start after all others."""
    lengths = LengthEstimator()
    assert _estimate(lengths, 0)[1] > _estimate(lengths, 0, tokens=1700)[1]
    assert _estimate(lengths, 0)[1] < _estimate(lengths, 0, tokens=8400)[1]


def test_estimates_worse_than_the_usual_length_are_ignored() -> None:
    """A trainer's estimates are ten times too long for some of its items.

    Used as they are, they would place short texts before the long ones.
    """
    lengths = LengthEstimator()
    texts = [
        (events, 85 * events * (10 if number % 2 else 1))
        for number, events in enumerate(_draw_lengths(240))
    ]
    _record(lengths, texts)
    assert not lengths.uses_estimates(MODEL)
    assert _estimate(lengths, 0, tokens=17000) == _estimate(lengths, 0)


def test_estimates_that_are_all_too_long_are_scaled() -> None:
    """All of them are ten times too long, which the completed texts show."""
    lengths = LengthEstimator()
    texts = [(events, 850 * events) for events in _draw_lengths(240)]
    _record(lengths, texts)
    assert _estimate(lengths, 0, tokens=17000)[0] == pytest.approx(20)


@pytest.mark.parametrize('error', [1, 10])
def test_a_text_ends_at_its_limit(error: int) -> None:
    """An item without an estimate has a limit of thirty events.

    Five of them are left, also if all estimates are ten times too long. A limit
    that the text has already exceeded tells nothing.
    """
    lengths = LengthEstimator()
    _record(lengths, [(each, 84 * error * each) for each in _draw_lengths(240)])
    progress = _make_progress(0)
    progress.item = msgspec.structs.replace(
        progress.item, max_output_tokens=30 * 84
    )
    progress.text.last_number = 25
    assert lengths.estimate(MODEL, progress).typical == pytest.approx(5)
    progress.text.last_number = 31
    assert lengths.estimate(MODEL, progress).typical > 25
