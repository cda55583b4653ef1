"""Reduces the work of slow or failing samplers, or ejects them.

Load pattern: one of six samplers becomes ten times as slow, or half of them
refuse everything for thirty seconds.

Without ejection: a slow sampler occupies its slots ten times as long and
receives a share of all requests; a failing one frees its slot at once after
each failure, so least-connections sends it nearly everything.

A sampler's share of interactive work falls with its token interval relative to
the pool's median and with its failures; its share of rollout work only with its
failures. Below `EJECT_BELOW` it gets no work for a while, then its share ramps
up. Older evidence counts less.
"""

import math
from typing import Final

_SMOOTHING: Final = 0.25
# Below a third of a healthy sampler's share, the requests it serves determine
# the p99 and its slots no longer help.
EJECT_BELOW: Final = 0.35
# At most half of the pool is ejected at once: when half fails, the others are
# already overloaded, and a wrong verdict on all must not stop the service.
MAX_EJECTED_SHARE: Final = 0.5
# Duration of the first ejection; it doubles up to `LONGEST_EJECTION_S`. With
# two seconds, probing and then the ramp of `RAMP_S` back to a full share take
# less than five seconds.
FIRST_EJECTION_S: Final = 0.5
LONGEST_EJECTION_S: Final = 2.0
RAMP_START: Final = 0.2
RAMP_S: Final = 1.5
# Time constant with which evidence decays.
MEMORY_S: Final = 10.0
# Streams slower than the expected token interval by this factor are reported
# while they run. A full batch and a long prompt stay below it; a stalled or
# failing sampler doesn't.
SLOW_STREAM_FACTOR: Final = 3.0
# Above this share of failures an ejection is due to failures, not slowness.
_MIN_FAILING_SHARE: Final = 0.3
# Batches and prompt mixes differ: up to this multiple of the median, the token
# interval is healthy.
_MAX_HEALTHY_RATIO: Final = 1.5


class Health:
    """One sampler's token interval, failures and ejections."""

    def __init__(self) -> None:
        self.token_interval: float | None = None
        self.failures: float = 0
        self.ejected_until = -math.inf
        self._last_evidence_at = -math.inf
        self._ejections = 0
        self._ejected_for_failures = False

    def record_success(self, token_interval: float, now: float) -> None:
        """Record one answer's seconds per token."""
        self._mark_evidence(now)
        if self.token_interval is None:
            self.token_interval = token_interval
        self.token_interval += _SMOOTHING * (
            token_interval - self.token_interval
        )
        self.failures *= 1 - _SMOOTHING

    def record_failure(self, now: float) -> None:
        """Record one failure."""
        self._mark_evidence(now)
        self.failures += _SMOOTHING * (1 - self.failures)

    def record_lower_bound(self, token_interval: float, now: float) -> None:
        """Raise the token interval to that of a run that hasn't ended yet."""
        self._last_evidence_at = now
        self.token_interval = max(self.token_interval or 0, token_interval)

    def get_share(self, now: float, median_interval: float | None) -> float:
        """Return its share of a healthy sampler's interactive work."""
        if now < self.ejected_until:
            return 0
        return self.get_quality(now, median_interval) * self._get_ramp(now)

    def get_throughput_share(self, now: float) -> float:
        """Return the share for work that needs throughput rather than latency.

        A slow sampler still adds tokens to a step, so only failures count.
        """
        if now < self.ejected_until and self._ejected_for_failures:
            return 0
        return self.get_quality(now, None)

    def get_quality(self, now: float, median_interval: float | None) -> float:
        """Return a quality from 0 to 1; older evidence counts less."""
        quality = (1 - self.failures) ** 2
        if self.token_interval and median_interval:
            quality *= min(
                _MAX_HEALTHY_RATIO * median_interval / self.token_interval, 1.0
            )
        trust = math.exp(-max(now - self._last_evidence_at, 0) / MEMORY_S)
        return 1 - (1 - quality) * trust

    def eject(self, now: float) -> None:
        """Give the sampler no work for a while."""
        pause = FIRST_EJECTION_S * 2**self._ejections
        self.ejected_until = now + min(pause, LONGEST_EJECTION_S)
        self._ejections = min(self._ejections + 1, 8)
        self._ejected_for_failures = self.failures > _MIN_FAILING_SHARE
        # Only answers after the ejection count from now on.
        self.failures = 0
        self.token_interval = None

    def _get_ramp(self, now: float) -> float:
        since = now - self.ejected_until
        if since > MEMORY_S:
            self._ejections = 0
        if since >= RAMP_S:
            return 1.0
        return RAMP_START + (1 - RAMP_START) * since / RAMP_S

    def _mark_evidence(self, now: float) -> None:
        self._last_evidence_at = now


def may_eject(ejected: int, total: int) -> bool:
    """Return whether one more sampler may be ejected at the same time."""
    return ejected + 1 <= MAX_EJECTED_SHARE * total
