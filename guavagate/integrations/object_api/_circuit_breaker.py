"""Holds calls back while the platform gives no answers.

Load pattern: an outage of hours. Without it each call of each instance waits
out its time limit, tasks pile up behind, and the platform's return meets all
of them at once. One call at a time probes, at jittered times that grow up to
a few seconds, so 330 instances together probe about a hundred times a second
and each finds the platform back within seconds.
"""

import random
from typing import Final

FAILURE_THRESHOLD: Final = 5
MIN_PROBE_INTERVAL_SECONDS: Final = 0.5
MAX_PROBE_INTERVAL_SECONDS: Final = 5.0


class CircuitBreaker:
    """Closed while calls succeed; time is an argument, seconds."""

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
        """Return whether calls are held back."""
        return self._probe_at is not None

    def admit(self, now: float) -> float:
        """Return 0 when a call may go, else seconds until a probe may."""
        if self._probe_at is None:
            return 0
        if now < self._probe_at:
            return self._probe_at - now
        # Others wait while this one probes.
        self._probe_at = now + self._interval
        return 0

    def record_success(self) -> bool:
        """Note an answer; return whether this ends an outage."""
        ended = self.is_open()
        self._failures = 0
        self._interval = MIN_PROBE_INTERVAL_SECONDS
        self._probe_at = None
        return ended

    def record_failure(self, now: float) -> bool:
        """Note a failure; return whether this starts an outage."""
        self._failures += 1
        if self._failures < FAILURE_THRESHOLD:
            return False
        started = not self.is_open()
        jitter = self._random.uniform(0.5, 1)
        self._probe_at = now + self._interval * jitter
        self._interval = min(self._interval * 2, self._max_interval)
        return started
