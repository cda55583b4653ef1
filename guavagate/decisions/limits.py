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
        self._streams: list[float] = []
        self._best: float | None = None
        self._trial: _Trial | None = None
        self._step = 1
        self._doubted = False
        self._since = float('-inf')
        self._pause = FIRST_PAUSE_S
        self._next_trial: float | None = None
        self.value = self._configured

    def configure(self, slots: int) -> None:
        """Take over a changed number of slots."""
        if slots != self._configured and slots > 0:
            self._configured = slots
            self.value = slots
            self._trial = None
            self._paces.clear()
            self._streams.clear()

    def learn(
        self, pace: float, running: float, started: float, now: float
    ) -> None:
        """Take in one answer's seconds per token.

        Parameters
        ----------
        running
            How many streams ran there meanwhile, its own included.
        started
            When it started; what ran on from before a change says nothing.
        """
        if not self._learning or started < self._since:
            return
        self._best = min(self._best or pace, pace)
        slow = pace > _SUSPICIOUS * self._best
        if self._trial is None and running < self.value and not slow:
            return
        self._paces.append(pace)
        self._streams.append(running)
        if len(self._paces) < _ANSWERS:
            return
        streams = sum(self._streams) / _ANSWERS
        rate = sum(self._streams) / sum(self._paces)
        self._paces.clear()
        self._streams.clear()
        if self._trial is None:
            self._begin(rate, streams, now)
        elif self._trial.rate is None:
            self._trial.rate = rate
            self._since = now
            self.value = self._trial.old
        else:
            base = max(self._trial.base, rate)
            self._judge(self._trial, self._trial.rate > base * (1 + _GAIN), now)

    def _begin(self, rate: float, streams: float, now: float) -> None:
        if self._next_trial is None:
            self._next_trial = now + self._pause
        slow = streams / rate > _SUSPICIOUS * (self._best or 1)
        tried = self.value + self._step
        if slow and not self._doubted:
            # More than batching explains: see at once whether fewer is more,
            # also when admission already keeps the sampler from being full.
            self._doubted = True
            self._step = -1
            tried = min(int(streams), self.value) - 1
        elif now < self._next_trial or streams < self.value:
            return
        if 1 <= tried <= MAX_GROWTH * self._configured:
            self._trial = _Trial(self.value, tried, rate)
            self._since = now
            self.value = tried
        else:
            self._step = -self._step

    def _judge(self, trial: '_Trial', better: bool, now: float) -> None:
        self._trial = None
        if better:
            self.value = trial.tried
            self._since = now
            self._doubted = False
            self._pause = FIRST_PAUSE_S
            self._next_trial = now
            return
        self._doubted = self._step < 0
        self._step = -self._step
        self._next_trial = now + self._pause
        self._pause = min(2 * self._pause, LONGEST_PAUSE_S)


class _Trial:
    """Another number of streams, tried between two looks at the old one."""

    __slots__ = ('base', 'old', 'rate', 'tried')

    def __init__(self, old: int, tried: int, base: float) -> None:
        self.old = old
        self.tried = tried
        self.base = base
        self.rate: float | None = None
