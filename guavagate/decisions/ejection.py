"""Weights for slow or failing samplers.

Load pattern: one of six samplers becomes ten times as slow, or half of them
refuse everything for thirty seconds.
Without it: a slow sampler holds its slots ten times as long and a share of
all requests meets it; a failing one is free at once after each failure, so
least-connections sends it nearly everything.

A sampler's share of callers' work falls with its pace against the pool's
median and with its failures, a trainer's only with its failures. Below
`EJECT_BELOW` it gets nothing for a while, then comes back by degrees. What
was seen long ago counts less.
"""

import math
from typing import Final

_SMOOTHING: Final = 0.25
# Below a third of a healthy sampler's share its requests decide the p99 and
# its slots no longer help.
EJECT_BELOW: Final = 0.35
# Never more than half of the pool at once: with half failing, the others are
# already overloaded, and a wrong verdict on all must not stop service.
MAX_EJECTED_SHARE: Final = 0.5
# First ejection; doubles up to the longest. Two seconds bound the way back
# to normal: probe, then `RAMP_S` to a full share, is under five seconds.
FIRST_EJECTION_S: Final = 0.5
LONGEST_EJECTION_S: Final = 2.0
RAMP_START: Final = 0.2
RAMP_S: Final = 1.5
# Evidence fades with this time constant.
MEMORY_S: Final = 10.0
# A stream this many times slower than expected is reported while it runs: a
# full batch and a long prompt stay below it, a stalled or failing one doesn't.
SLOW_STREAM: Final = 3.0
# Failures beyond this share were the cause of an ejection, not the pace.
_FAILING: Final = 0.3
# Batches and prompt mixes differ; up to this ratio the pace is healthy.
_HEALTHY_RATIO: Final = 1.5


class Health:
    """What is known of one sampler's pace and failures."""

    def __init__(self) -> None:
        self.pace: float | None = None
        self.failures: float = 0
        self.ejected_until = -math.inf
        self._seen = -math.inf
        self._ejections = 0
        self._failing = False

    def succeed(self, pace: float, now: float) -> None:
        """Take in one answer's seconds per token."""
        self._fade(now)
        if self.pace is None:
            self.pace = pace
        self.pace += _SMOOTHING * (pace - self.pace)
        self.failures *= 1 - _SMOOTHING

    def fail(self, now: float) -> None:
        """Take in one failure."""
        self._fade(now)
        self.failures += _SMOOTHING * (1 - self.failures)

    def suspect(self, pace: float, now: float) -> None:
        """Take in that work still running can't have had a better pace."""
        self._seen = now
        self.pace = max(self.pace or 0, pace)

    def share(self, now: float, median: float | None) -> float:
        """Return the share of a healthy sampler's work that it may have."""
        if now < self.ejected_until:
            return 0
        return self.quality(now, median) * self._ramp(now)

    def throughput_share(self, now: float) -> float:
        """Return the share for work that wants throughput, not speed.

        A slow sampler still adds tokens to a step; only failures count.
        """
        if now < self.ejected_until and self._failing:
            return 0
        return self.quality(now, None)

    def quality(self, now: float, median: float | None) -> float:
        """Return how good it is, from 0 to 1, old evidence counting less."""
        quality = (1 - self.failures) ** 2
        if self.pace and median:
            quality *= min(_HEALTHY_RATIO * median / self.pace, 1.0)
        trust = math.exp(-max(now - self._seen, 0) / MEMORY_S)
        return 1 - (1 - quality) * trust

    def eject(self, now: float) -> None:
        """Give it nothing for a while."""
        pause = FIRST_EJECTION_S * 2**self._ejections
        self.ejected_until = now + min(pause, LONGEST_EJECTION_S)
        self._ejections = min(self._ejections + 1, 8)
        self._failing = self.failures > _FAILING
        # The first answers after the return decide, not the ones before.
        self.failures = 0
        self.pace = None

    def _ramp(self, now: float) -> float:
        since = now - self.ejected_until
        if since > MEMORY_S:
            self._ejections = 0
        if since >= RAMP_S:
            return 1.0
        return RAMP_START + (1 - RAMP_START) * since / RAMP_S

    def _fade(self, now: float) -> None:
        self._seen = now


def may_eject(ejected: int, total: int) -> bool:
    """Return whether one more may be out at the same time."""
    return ejected + 1 <= MAX_EJECTED_SHARE * total
