"""How long texts will be, by those that have ended; needs no network.

Load pattern: a tenth of a step's texts is several times as long as the others,
and takes most of the time that the step has. Trainers send an estimate with
most items, in tokens and often far off; what a token of an estimate comes to is
only seen in texts that have ended.
"""

from collections import defaultdict, deque
from typing import Final

import msgspec

from guavagate.jobs._work import ItemProgress

# Texts that are remembered of a model: those of a few steps.
MAX_TEXTS: Final = 256
# One text in twenty is longer: a group is as late as its longest text.
LONG_QUANTILE: Final = 0.95
# As few say nothing of the long ones.
MIN_TEXTS: Final = 20


class LengthEstimate(msgspec.Struct, frozen=True):
    """What is still to be made of a text, in events.

    `usual` is what it takes from a sampler's time, `long` what a caller who
    must not be late has to reckon with.
    """

    typical: float
    conservative: float


class _Seen(msgspec.Struct):
    """The texts of one model that have ended last."""

    events: deque[int]
    tokens: deque[int]
    total_events: int = 0
    total_tokens: int = 0
    mean: float = 0
    long: float = 0
    most: float = 0

    @property
    def scale(self) -> float:
        """Return the events to a token of an estimate; 1 while not known."""
        if not self.total_tokens:
            return 1
        return self.total_events / self.total_tokens

    def note(self, events: int, tokens: int) -> None:
        """Take in a text; the oldest one is forgotten."""
        if len(self.events) == MAX_TEXTS:
            oldest = self.tokens.popleft()
            forgotten = self.events.popleft()
            self._add(-forgotten, -oldest, bool(oldest))
        self.events.append(events)
        self.tokens.append(tokens)
        self._add(events, tokens, bool(tokens))
        ordered = sorted(self.events)
        self.mean = sum(ordered) / len(ordered)
        self.long = ordered[int(len(ordered) * LONG_QUANTILE)]
        self.most = ordered[-1]

    def _add(self, events: int, tokens: int, hinted: bool) -> None:
        if hinted:
            self.total_events += events
            self.total_tokens += tokens


class LengthEstimator:
    """What is known of the texts of each model."""

    def __init__(self) -> None:
        self._seen: defaultdict[str, _Seen] = defaultdict(
            lambda: _Seen(deque(), deque())
        )

    def record(self, model: str, progress: ItemProgress) -> None:
        """Take in a text that has ended."""
        tokens = progress.item.expected_tokens
        self._seen[model].note(progress.text.last_number, tokens)

    def is_known(self, model: str) -> bool:
        """Return whether enough texts of a model have ended."""
        seen = self._seen.get(model)
        return seen is not None and len(seen.events) >= MIN_TEXTS

    def estimate(self, model: str, progress: ItemProgress) -> LengthEstimate:
        """Return what is still to be made of an item; at least one event.

        A text that is longer already than what was expected of it goes on for
        a while: the estimate was wrong, and nothing says by how much.
        """
        seen = self._seen[model]
        made = progress.text.last_number
        usual = seen.mean
        # Without an estimate a text is most likely a usual one: taken for a
        # long one, each group would seem late from its start.
        long = max(seen.long / 2, usual)
        tokens = progress.item.expected_tokens
        if tokens:
            long = tokens * seen.scale
            # Estimates are often far off, and texts have a limit.
            long = min(long, seen.most or long)
            usual = long
        least = max(seen.mean / 4, 1)
        return LengthEstimate(max(usual - made, least), max(long - made, least))
