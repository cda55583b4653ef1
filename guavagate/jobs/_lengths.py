"""Estimates text lengths from completed texts, without network access.

Failure pattern: a tenth of a step's texts is several times as long as the
others and takes most of the step's time. Trainers send an estimate in tokens
with most items, but it is often far off, and how many events a token of an
estimate stands for is only known from completed texts. So estimates are scaled
by what the last completed texts of the model turned out to be.
"""

from collections import defaultdict, deque
from typing import Final

import msgspec

from guavagate.jobs._work import ItemProgress

# Completed texts remembered for each model: those of a few steps.
MAX_TEXTS: Final = 256
# One text in twenty is longer. The longest text decides when a group is
# complete.
LONG_QUANTILE: Final = 0.95
# Fewer texts say nothing about the long ones.
MIN_TEXTS: Final = 20


class RemainingLength(msgspec.Struct, frozen=True):
    """The remaining length of a text, in events.

    `typical` predicts the use of a sampler's time. `conservative` is for
    callers that must not be late.
    """

    typical: float
    conservative: float


class _LengthHistory(msgspec.Struct):
    """The lengths of the last completed texts of one model."""

    events: deque[int]
    tokens: deque[int]
    total_events: int = 0
    total_tokens: int = 0
    mean: float = 0
    long: float = 0
    longest: float = 0

    @property
    def events_per_token(self) -> float:
        """Return the events per estimated token; 1 if unknown."""
        if not self.total_tokens:
            return 1
        return self.total_events / self.total_tokens

    def record(self, events: int, tokens: int) -> None:
        """Add a completed text; drop the oldest one if the history is full.

        `tokens` is the trainer's estimate, 0 if it sent none.
        """
        if len(self.events) == MAX_TEXTS:
            oldest_tokens = self.tokens.popleft()
            oldest_events = self.events.popleft()
            self._add(-oldest_events, -oldest_tokens, bool(oldest_tokens))
        self.events.append(events)
        self.tokens.append(tokens)
        self._add(events, tokens, bool(tokens))
        ordered = sorted(self.events)
        self.mean = sum(ordered) / len(ordered)
        self.long = ordered[int(len(ordered) * LONG_QUANTILE)]
        self.longest = ordered[-1]

    def _add(self, events: int, tokens: int, has_estimate: bool) -> None:
        if has_estimate:
            self.total_events += events
            self.total_tokens += tokens


class LengthEstimator:
    """Estimates the remaining length of items, by model."""

    def __init__(self) -> None:
        self._histories: defaultdict[str, _LengthHistory] = defaultdict(
            lambda: _LengthHistory(deque(), deque())
        )

    def record(self, model: str, progress: ItemProgress) -> None:
        """Record the length of a completed text."""
        tokens = progress.item.expected_tokens
        self._histories[model].record(progress.text.last_number, tokens)

    def is_known(self, model: str) -> bool:
        """Return whether enough texts of a model have completed."""
        history = self._histories.get(model)
        return history is not None and len(history.events) >= MIN_TEXTS

    def estimate(self, model: str, progress: ItemProgress) -> RemainingLength:
        """Return the remaining length of an item; at least one event.

        A text that already exceeds its estimate is assumed to go on for a
        while: the estimate was wrong, and nothing says by how much.
        """
        history = self._histories[model]
        done = progress.text.last_number
        typical = history.mean
        # Without an estimate a text most likely has a typical length. If it
        # were assumed to be long, each group would seem late from its start.
        conservative = max(history.long / 2, typical)
        tokens = progress.item.expected_tokens
        if tokens:
            conservative = tokens * history.events_per_token
            # Estimates are often far off, and texts have a length limit.
            conservative = min(conservative, history.longest or conservative)
            typical = conservative
        minimum = max(history.mean / 4, 1)
        return RemainingLength(
            max(typical - done, minimum), max(conservative - done, minimum)
        )
