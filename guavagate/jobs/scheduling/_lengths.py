"""Estimates text lengths from completed texts, without network access.

Failure pattern: a tenth of a step's texts is several times as long as the
others and takes most of the step's time. Trainers send an estimate in tokens
with some items, and it is often far off. So an estimate is scaled by what the
last completed texts of the model turned out to be, and ignored while such
estimates predict lengths worse than the usual length does.

The longer a text already is, the likelier it is one of the long ones. The
remaining length is therefore the mean residual life: the mean over those
completed texts that were longer than this one is now. Long texts complete last,
so the first completed texts are all short. Until long ones have completed,
texts of a few times the median length are assumed beside them.
"""

import math
from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Sequence
from typing import Final

import msgspec

from guavagate.jobs._models import ResultState
from guavagate.jobs._work import EVENT_SEPARATOR, ItemProgress, JobWork

# Completed texts remembered for each model: those of a few steps.
MAX_TEXTS: Final = 256
# One text in twenty is longer. The longest text decides when a group is
# complete.
LONG_QUANTILE: Final = 0.95
# Fewer texts say nothing about the long ones.
MIN_TEXTS: Final = 20
# Fewer longer texts don't give a mean.
MIN_LONGER_TEXTS: Final = 5
# Assumed long texts, relative to the median, while few longer ones are known.
ASSUMED_LONG_RATIOS: Final = (3.0, 4.0, 5.0, 7.0)
# The remaining share of a text that is longer than all known and assumed ones.
OUTLIER_RATIO: Final = 0.25
# A text with less left, relative to the long quantile, is short: it is complete
# long before the texts that its step waits for.
SHORT_RATIO: Final = 0.5
# Assumed until the first texts of a model have completed.
DEFAULT_EVENTS: Final = 20.0
DEFAULT_LONG_EVENTS: Final = 50.0
DEFAULT_TOKENS_PER_EVENT: Final = 84.0
# Texts with an estimate that show whether estimates are useful.
MIN_ESTIMATED_TEXTS: Final = 10


class RemainingLength(msgspec.Struct, frozen=True):
    """The remaining length of a text, in events.

    `typical` predicts the use of a sampler's time. `conservative` is for
    callers that must not be late.
    """

    typical: float
    conservative: float


_UNKNOWN: Final = RemainingLength(DEFAULT_EVENTS, DEFAULT_LONG_EVENTS)
_UNKNOWN_LENGTHS: Final = (10, 15, 20, 25, 80)
# How many events ahead the memory of texts is forecast.
HORIZONS: Final = (0, 8, 16, 24, 32, 48, 64, 96, 128, 192)
# The probabilities that a text is longer by each of `HORIZONS`.
Survival = tuple[float, ...]


class _EstimatedTexts:
    """The completed texts with an estimate, sorted by events per token.

    Texts are weighted by their estimated tokens. A high estimate is more often
    too high than a low one, and the long texts are those with high estimates.
    """

    def __init__(self, texts: Sequence[tuple[int, int]]) -> None:
        ordered = sorted((events / tokens, tokens) for events, tokens in texts)
        self._ratios = [ratio for ratio, _ in ordered]
        self._tokens = _sum_up([tokens for _, tokens in ordered])
        self._events = _sum_up([ratio * tokens for ratio, tokens in ordered])

    @property
    def median_ratio(self) -> float:
        """Return the usual events per token; 0 if unknown."""
        if not self._ratios:
            return 0
        return self._ratios[len(self._ratios) // 2]

    def predict(self, tokens: int, done: int) -> float | None:
        """Return the length of a text with an estimate, given what is done.

        None if too few texts have outlived their estimates by as much.
        """
        if not self._ratios:
            return tokens / DEFAULT_TOKENS_PER_EVENT
        shorter = bisect_right(self._ratios, done / tokens)
        if done and len(self._ratios) - shorter < MIN_LONGER_TEXTS:
            return None
        events = self._events[-1] - self._events[shorter]
        weight = self._tokens[-1] - self._tokens[shorter]
        return tokens * events / weight

    def survive(self, tokens: int, done: int) -> Survival | None:
        """Return the survival of a text with an estimate.

        None if too few texts have outlived their estimates by as much.
        """
        if not self._ratios:
            length = max(tokens / DEFAULT_TOKENS_PER_EVENT, done + 1)
            return _count_survivors((length,), done)
        shorter = bisect_right(self._ratios, done / tokens)
        if done and len(self._ratios) - shorter < MIN_LONGER_TEXTS:
            return None
        total = self._tokens[-1]
        weight = total - self._tokens[shorter]
        return tuple(
            (
                total
                - self._tokens[
                    bisect_right(self._ratios, (done + ahead) / tokens)
                ]
            )
            / weight
            for ahead in HORIZONS
        )


class _LengthHistory:
    """The lengths of the last completed texts of one model."""

    def __init__(self) -> None:
        # Pairs of events and the trainer's estimate in tokens, 0 if none.
        self._texts: deque[tuple[int, int]] = deque(maxlen=MAX_TEXTS)
        self._ordered: list[int] = []
        self._estimated = _EstimatedTexts(())
        self._residuals: dict[int, RemainingLength] = {}
        self._survivals: dict[tuple[int, int], Survival] = {}
        self._outdated = False
        self._uses_estimates = True

    @property
    def texts(self) -> int:
        """Return the number of completed texts that are remembered."""
        return len(self._texts)

    @property
    def long(self) -> int:
        """Return the long quantile of all lengths in events."""
        self._refresh()
        return self._ordered[int(len(self._ordered) * LONG_QUANTILE)]

    @property
    def uses_estimates(self) -> bool:
        """Return whether estimates predict better than the usual length."""
        self._refresh()
        return self._uses_estimates

    @property
    def tokens_per_event(self) -> float:
        """Return the estimated tokens per event; a default if unknown."""
        self._refresh()
        ratio = self._estimated.median_ratio
        return 1 / ratio if ratio else DEFAULT_TOKENS_PER_EVENT

    def convert_limit(self, tokens: int) -> float:
        """Return a limit in events; 0 while events per token are unknown.

        Estimates that are all too high must not make a limit too low.
        """
        self._refresh()
        ratio = self._estimated.median_ratio
        if not ratio:
            return 0
        return tokens * max(ratio, 1 / DEFAULT_TOKENS_PER_EVENT)

    def record(self, events: int, tokens: int) -> None:
        """Add a completed text; drop the oldest one if the history is full."""
        self._texts.append((events, tokens))
        self._outdated = True

    def estimate(self, done: int, tokens: int) -> RemainingLength:
        """Return the remaining length of a text; at least one event."""
        self._refresh()
        if tokens and self._uses_estimates:
            length = self._estimated.predict(tokens, done)
            if length is not None:
                if self._ordered and done < self._ordered[-1]:
                    # Texts have a length limit.
                    length = min(length, self._ordered[-1])
                remaining = max(length - done, 1)
                return RemainingLength(remaining, remaining)
        if not self._ordered:
            return _UNKNOWN
        found = self._residuals.get(done)
        if found is None:
            found = self._compute_residual(done)
            self._residuals[done] = found
        return found

    def survive(self, done: int, tokens: int) -> Survival:
        """Return the probabilities that a text is longer by each horizon."""
        self._refresh()
        if tokens and not self._uses_estimates:
            tokens = 0
        found = self._survivals.get((done, tokens))
        if found is None:
            if tokens:
                found = self._estimated.survive(tokens, done)
            if found is None:
                longest = done * (1 + OUTLIER_RATIO)
                lengths = self._list_longer(done) or (longest,)
                found = _count_survivors(lengths, done)
            self._survivals[done, tokens] = found
        return found

    def _refresh(self) -> None:
        """Sort the texts once after several of them have been recorded."""
        if not self._outdated:
            return
        self._outdated = False
        self._ordered = sorted(events for events, _ in self._texts)
        self._residuals = {}
        self._survivals = {}
        estimated = [each for each in self._texts if all(each)]
        self._estimated = _EstimatedTexts(estimated)
        self._uses_estimates = self._are_useful(estimated)

    def _compute_residual(self, done: int) -> RemainingLength:
        """Return the mean residual life and half of its long quantile.

        If a text without an estimate were assumed to be long, each group would
        seem late from its start.
        """
        longer = self._list_longer(done)
        if not longer:
            remaining = max(done * OUTLIER_RATIO, 1)
            return RemainingLength(remaining, remaining)
        typical = max(sum(longer) / len(longer) - done, 1)
        long = longer[int(len(longer) * LONG_QUANTILE)] - done
        return RemainingLength(typical, max(long / 2, typical))

    def _list_longer(self, done: int) -> Sequence[float]:
        """Return the lengths above what is done, known or assumed."""
        ordered = self._ordered
        longer = ordered[bisect_right(ordered, done) :]
        if len(longer) >= MIN_LONGER_TEXTS:
            return longer
        median = ordered[len(ordered) // 2] if ordered else 0
        assumed = (
            [ratio * median for ratio in ASSUMED_LONG_RATIOS]
            if ordered
            else _UNKNOWN_LENGTHS
        )
        return sorted((*longer, *(each for each in assumed if each > done)))

    def _are_useful(self, texts: Sequence[tuple[int, int]]) -> bool:
        """Return whether estimates predict better than the median length."""
        if len(texts) < MIN_ESTIMATED_TEXTS:
            return True
        ratio = self._estimated.median_ratio
        median = sorted(events for events, _ in texts)[len(texts) // 2]
        error = sum(
            abs(math.log(events / (tokens * ratio))) for events, tokens in texts
        )
        usual = sum(abs(math.log(events / median)) for events, _ in texts)
        return error <= usual


class LengthEstimator:
    """Estimates the remaining length of items, by model."""

    def __init__(self) -> None:
        self._histories: defaultdict[str, _LengthHistory] = defaultdict(
            _LengthHistory
        )

    def record(self, model: str, progress: ItemProgress) -> None:
        """Record the length of a completed text."""
        tokens = progress.item.expected_tokens
        self._histories[model].record(progress.text.last_number, tokens)

    def record_results(self, work: JobWork) -> None:
        """Record the lengths of texts that another instance has committed.

        A new owner starts without them, while the longest texts of its steps
        run. An event that contains a separator counts twice; few do.
        """
        history = self._histories[work.job.model]
        for result in work.log.results:
            progress = work.items.get(result.id)
            if progress is None or result.state is not ResultState.COMPLETED:
                continue
            events = result.text.count(EVENT_SEPARATOR) + 1
            history.record(events, progress.item.expected_tokens)

    def is_known(self, model: str) -> bool:
        """Return whether enough texts of a model have completed."""
        history = self._histories.get(model)
        return history is not None and history.texts >= MIN_TEXTS

    def is_short(self, model: str, progress: ItemProgress) -> bool:
        """Return whether an item surely isn't one of the long ones."""
        history = self._histories[model]
        if history.texts < MIN_TEXTS:
            return False
        length = self.estimate(model, progress).conservative
        return length < SHORT_RATIO * history.long

    def uses_estimates(self, model: str) -> bool:
        """Return whether the trainer's estimates of a model are in use."""
        return self._histories[model].uses_estimates

    def survive(self, model: str, progress: ItemProgress) -> Survival:
        """Return the probabilities that an item is longer by each horizon."""
        return self._histories[model].survive(
            progress.text.last_number, progress.item.expected_tokens
        )

    def get_tokens_per_event(self, model: str) -> float:
        """Return the tokens per event that the estimates amount to."""
        return self._histories[model].tokens_per_event

    def estimate(self, model: str, progress: ItemProgress) -> RemainingLength:
        """Return the remaining length of an item; at least one event."""
        history, item = self._histories[model], progress.item
        done = progress.text.last_number
        length = history.estimate(done, item.expected_tokens)
        limit = history.convert_limit(item.max_output_tokens) - done
        if 0 < limit < length.conservative:
            return RemainingLength(min(length.typical, limit), limit)
        return length


def _count_survivors(lengths: Sequence[float], done: int) -> Survival:
    """Return the share of lengths, in order, above each horizon."""
    return tuple(
        1 - bisect_right(lengths, done + ahead) / len(lengths)
        for ahead in HORIZONS
    )


def _sum_up(values: Sequence[float]) -> list[float]:
    """Return the sums of the first 0, 1, 2 and more values."""
    sums = [float(0)]
    for each in values:
        sums.append(sums[-1] + each)
    return sums
