"""Concurrency per sampler, found from observed pace.

Load pattern: engines admit all that they get, and the configured number of
slots is wrong, or right only for short prompts.
Without it: an engine with more streams than its memory holds swaps them in
and out; every stream slows down together and nothing finishes.

Seconds per token at a low number of streams is the reference. While the limit
is in use and the pace stays near the reference, the limit grows by one per
limit's worth of answers; a pace beyond `TOLERANCE` shrinks it by a tenth.
"""

from typing import Final

# Decode slows by some tens of percent from one stream to a full batch; twice
# the reference is beyond batching and means that streams evict each other.
TOLERANCE: Final = 2.0
_SHRINK: Final = 0.9
# Growth ends at this multiple of the configured slots.
MAX_GROWTH: Final = 4.0
# The reference rises by this share per answer, so that one lucky measurement
# or an engine that became slower for good doesn't hold the limit down.
_REFERENCE_RISE: Final = 0.002
# The limit shrinks at most once per this many answers per slot.
_SETTLE_SHARE: Final = 0.5


class ConcurrencyLimit:
    """One sampler's limit."""

    def __init__(self, configured: int, *, learning: bool) -> None:
        self._configured = max(configured, 1)
        self._learning = learning
        self._limit = float(self._configured)
        self._reference: float | None = None
        self._answers: float = 0

    @property
    def value(self) -> int:
        """Return how much work may run at once."""
        return int(self._limit)

    def configure(self, slots: int) -> None:
        """Take over a changed number of slots."""
        if slots != self._configured and slots > 0:
            self._configured = slots
            self._limit = float(slots)

    def learn(self, pace: float, running: int) -> None:
        """Take in one answer's seconds per token."""
        if self._reference is None or pace < self._reference:
            self._reference = pace
        self._reference *= 1 + _REFERENCE_RISE
        if not self._learning:
            return
        self._answers += 1
        if pace > TOLERANCE * self._reference:
            self._shrink()
        elif running >= self.value - 1:
            top = MAX_GROWTH * self._configured
            self._limit = min(self._limit + 1 / self._limit, top)

    def _shrink(self) -> None:
        if self._answers < self._limit * _SETTLE_SHARE:
            return
        self._answers = 0
        self._limit = max(self._limit * _SHRINK, 1.0)
