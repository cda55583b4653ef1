"""Circuit breaker that rejects calls while the platform does not answer.

Load pattern: an outage of hours. Without the breaker each call waits for its
time limit, tasks pile up, and all of them call at once when the platform
returns. Instead one call at a time probes the platform, at jittered intervals
that grow to a few seconds. 330 instances then send about a hundred probes a
second in total, and each detects the platform's return within seconds.
"""

import random
from typing import Final

FAILURE_THRESHOLD: Final = 5
MIN_PROBE_INTERVAL_SECONDS: Final = 0.5
MAX_PROBE_INTERVAL_SECONDS: Final = 5.0


class CircuitBreaker:
    """A circuit breaker, closed while calls succeed; times in seconds."""

    def __init__(
        self,
        rng: random.Random,
        max_interval: float = MAX_PROBE_INTERVAL_SECONDS,
    ) -> None:
        self._max_interval = max_interval
        self._random = rng
        self._failures = 0
        self._interval = MIN_PROBE_INTERVAL_SECONDS
        self._probe_at: float | None = None

    def is_open(self) -> bool:
        """Return whether calls are rejected."""
        return self._probe_at is not None

    def admit(self, now: float) -> float:
        """Return 0 to admit a call, else the seconds until the next probe."""
        if self._probe_at is None:
            return 0
        if now < self._probe_at:
            return self._probe_at - now
        # Other calls are rejected while this one probes.
        self._probe_at = now + self._interval
        return 0

    def record_success(self) -> bool:
        """Record an answer; return whether it ends an outage."""
        ended = self.is_open()
        self._failures = 0
        self._interval = MIN_PROBE_INTERVAL_SECONDS
        self._probe_at = None
        return ended

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether it starts an outage."""
        self._failures += 1
        if self._failures < FAILURE_THRESHOLD:
            return False
        started = not self.is_open()
        jitter = self._random.uniform(0.5, 1)
        self._probe_at = now + self._interval * jitter
        self._interval = min(self._interval * 2, self._max_interval)
        return started
