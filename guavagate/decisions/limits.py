"""Concurrency per sampler, found from observed pace.

Load pattern: engines admit all that they get, and the configured number of
slots is wrong, or right only for short prompts.
Without it: an engine with more streams than its memory holds swaps them in
and out; every stream slows down together and nothing finishes.

While a sampler is full, one stream more or fewer is tried now and then; the
change is made when it gave more tokens a second than the old number did both
just before and just after. So a slow spell of the engine moves nothing, and
nothing has to be recovered from after it: a pace that is worse at the same
number of streams says nothing about the number.
"""

from typing import Final

# Answers that make a measurement: a full sampler gives them in seconds.
_ANSWERS: Final = 8
# A change must give this share more tokens a second, or it is taken back.
_GAIN: Final = 0.02
# A trial costs at most one stream's share of the throughput while it lasts.
# After a success the next follows at once; each failure doubles the pause.
FIRST_PAUSE_S: Final = 120.0
LONGEST_PAUSE_S: Final = 960.0
# Beyond this multiple of the best pace, fewer streams are tried first: decode
# slows by some tens of percent in a full batch, not by a half.
_SUSPICIOUS: Final = 1.5
# Growth ends at this multiple of the configured slots.
MAX_GROWTH: Final = 4


class ConcurrencyLimit:
    """One sampler's limit."""

    def __init__(self, configured: int, *, learning: bool) -> None:
        self._configured = max(configured, 1)
        self._learning = learning
        self._paces: list[float] = []
        self._best: float | None = None
        self._base: float | None = None
        self._tried: float | None = None
        self._step = 0
        self._pause = FIRST_PAUSE_S
        self._next_trial: float | None = None
        self.value = self._configured

    def configure(self, slots: int) -> None:
        """Take over a changed number of slots."""
        if slots != self._configured and slots > 0:
            self._configured = slots
            self.value = slots
            self._base = None
            self._tried = None
            self._paces.clear()

    def learn(self, pace: float, running: int, now: float) -> None:
        """Take in one answer's seconds per token.

        Parameters
        ----------
        running
            How many streams ran there all the while, its own included.
        """
        if not self._learning:
            return
        if self._best is None or pace < self._best:
            self._best = pace
        if running != self.value:
            return
        if self._next_trial is None:
            self._next_trial = now + self._pause
        self._paces.append(pace)
        if len(self._paces) < _ANSWERS:
            return
        rate = self.value * _ANSWERS / sum(self._paces)
        self._paces.clear()
        if self._base is None:
            self._begin(rate, now)
        elif self._tried is None:
            self._tried = rate
            self.value -= self._step
        else:
            self._judge(max(self._base, rate), self._tried, now)

    def _begin(self, rate: float, now: float) -> None:
        if self._next_trial is None or now < self._next_trial:
            return
        if not self._step:
            pace = self.value / rate
            slow = pace > _SUSPICIOUS * (self._best or pace)
            self._step = -1 if slow else 1
        top = MAX_GROWTH * self._configured
        if not 1 <= self.value + self._step <= top:
            self._step = -self._step
        self._base = rate
        self.value += self._step

    def _judge(self, base: float, tried: float, now: float) -> None:
        self._base = None
        self._tried = None
        if tried > base * (1 + _GAIN):
            self.value += self._step
            self._pause = FIRST_PAUSE_S
            self._next_trial = now
            return
        self._step = -self._step
        self._next_trial = now + self._pause
        self._pause = min(2 * self._pause, LONGEST_PAUSE_S)
