"""Concurrency limit per sampler, found from observed token intervals.

Load pattern: engines admit everything they receive, and the configured number
of slots is wrong, or right only for short prompts.

Without a learned limit: an engine with more streams than fit in its memory
swaps them in and out; all streams slow down together and none finishes.

While a sampler is full, one stream more or fewer is tried from time to time.
The change is kept if it gave more tokens a second than the old number did both
just before and just after. A temporary slowdown of the engine therefore changes
nothing and needs no recovery: a longer token interval at the same number of
streams says nothing about that number.
"""

from typing import Final

# Answers per measurement; a full sampler gives them in seconds.
_ANSWERS_PER_MEASUREMENT: Final = 8
# A change is kept only if it gives this share more tokens a second.
_MIN_GAIN: Final = 0.02
# A trial costs at most one stream's share of the throughput while it runs.
# After a success the next trial follows at once; each failure doubles the
# pause.
FIRST_PAUSE_S: Final = 120.0
LONGEST_PAUSE_S: Final = 960.0
# Beyond this multiple of the best token interval, fewer streams are tried
# first: decoding slows by some tens of percent in a full batch, not by half.
_MAX_BATCHING_RATIO: Final = 1.5
# Largest limit, as a multiple of the configured slots.
MAX_GROWTH: Final = 4


class ConcurrencyLimit:
    """The concurrency limit of one sampler."""

    def __init__(self, configured: int, *, learning: bool) -> None:
        self._configured = max(configured, 1)
        self._learning = learning
        self._token_intervals: list[float] = []
        self._streams: list[float] = []
        self._best_interval: float | None = None
        self._trial: _Trial | None = None
        self._step = 1
        self._tried_fewer = False
        self._ignore_before = float('-inf')
        self._pause = FIRST_PAUSE_S
        self._next_trial: float | None = None
        self.value = self._configured

    def configure(self, slots: int) -> None:
        """Apply a changed number of configured slots."""
        if slots != self._configured and slots > 0:
            self._configured = slots
            self.value = slots
            self._trial = None
            self._token_intervals.clear()
            self._streams.clear()

    def learn(
        self, token_interval: float, running: float, started: float, now: float
    ) -> None:
        """Record one answer's seconds per token.

        Parameters
        ----------
        running
            Mean number of streams on the sampler meanwhile, its own included.
        started
            When it started; answers that started before a change are ignored.
        """
        if not self._learning or started < self._ignore_before:
            return
        self._best_interval = min(
            self._best_interval or token_interval, token_interval
        )
        slow = token_interval > _MAX_BATCHING_RATIO * self._best_interval
        if self._trial is None and running < self.value and not slow:
            return
        self._token_intervals.append(token_interval)
        self._streams.append(running)
        if len(self._token_intervals) < _ANSWERS_PER_MEASUREMENT:
            return
        streams = sum(self._streams) / _ANSWERS_PER_MEASUREMENT
        rate = sum(self._streams) / sum(self._token_intervals)
        self._token_intervals.clear()
        self._streams.clear()
        if self._trial is None:
            self._consider_trial(rate, streams, now)
        elif self._trial.rate is None:
            self._trial.rate = rate
            self._ignore_before = now
            self.value = self._trial.old
        else:
            base = max(self._trial.base, rate)
            self._end_trial(
                self._trial, self._trial.rate > base * (1 + _MIN_GAIN), now
            )

    def _consider_trial(self, rate: float, streams: float, now: float) -> None:
        if self._next_trial is None:
            self._next_trial = now + self._pause
        slow = streams / rate > _MAX_BATCHING_RATIO * (self._best_interval or 1)
        tried = self.value + self._step
        if slow and not self._tried_fewer:
            # Batching doesn't explain this slowdown: try fewer streams at once,
            # also when admission already keeps the sampler from being full.
            self._tried_fewer = True
            self._step = -1
            tried = min(int(streams), self.value) - 1
        elif now < self._next_trial or streams < self.value:
            return
        if 1 <= tried <= MAX_GROWTH * self._configured:
            self._trial = _Trial(self.value, tried, rate)
            self._ignore_before = now
            self.value = tried
        else:
            self._step = -self._step

    def _end_trial(self, trial: '_Trial', better: bool, now: float) -> None:
        self._trial = None
        if better:
            self.value = trial.tried
            self._ignore_before = now
            self._tried_fewer = False
            self._pause = FIRST_PAUSE_S
            self._next_trial = now
            return
        self._tried_fewer = self._step < 0
        self._step = -self._step
        self._next_trial = now + self._pause
        self._pause = min(2 * self._pause, LONGEST_PAUSE_S)


class _Trial:
    """A trial of another number of streams, measured against the old one.

    `base` is the throughput with the old number before the trial, and `rate`
    that with the tried number, both in tokens per second.
    """

    __slots__ = ('base', 'old', 'rate', 'tried')

    def __init__(self, old: int, tried: int, base: float) -> None:
        self.old = old
        self.tried = tried
        self.base = base
        self.rate: float | None = None
