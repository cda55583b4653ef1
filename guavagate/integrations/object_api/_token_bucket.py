"""Token bucket that limits an instance's calls, by priority.

Load pattern: an availability zone fails and all its partitions are taken over,
while settings and status are written as usual. Without priorities, status
writes use up the rate that takeovers wait for. The lower part of the bucket is
therefore reserved for more urgent calls: takeovers need a burst of about ten
writes.
"""

from typing import Final

from guavagate.integrations.object_api.models import Priority

# Share of the bucket that must remain after a call is admitted.
_RESERVED_SHARES: Final[dict[Priority, float]] = {
    Priority.RECORDS: 0,
    Priority.SETTINGS: 0.3,
    Priority.STATUS: 0.6,
}
_BURST_SECONDS: Final = 2.0
_MIN_BURST_CALLS: Final = 10.0


class TokenBucket:
    """A token bucket; times are in seconds.

    Parameters
    ----------
    rate
        Calls per second that this instance may make.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = self._get_capacity()
        self._refilled_at = now

    def change_rate(self, rate: float, now: float) -> None:
        """Change the rate; remaining tokens are capped at the new burst."""
        if rate != self._rate:
            self._refill(now)
            self._rate = rate
            self._tokens = min(self._tokens, self._get_capacity())

    def take(self, priority: Priority, now: float) -> float:
        """Admit a call and return 0, or return the seconds to wait."""
        self._refill(now)
        floor = _RESERVED_SHARES[priority] * self._get_capacity()
        missing = floor + 1 - self._tokens
        if missing <= 0:
            self._tokens -= 1
            return 0
        return missing / self._rate

    def has_spare(self, priority: Priority, now: float) -> bool:
        """Return whether a call of this priority would be admitted now."""
        self._refill(now)
        floor = _RESERVED_SHARES[priority] * self._get_capacity()
        return self._tokens >= floor + 1

    def empty(self, now: float) -> None:
        """Remove all tokens, so that calls resume gradually."""
        self._tokens = 0
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(refilled, self._get_capacity())
        self._refilled_at = now

    def _get_capacity(self) -> float:
        return max(self._rate * _BURST_SECONDS, _MIN_BURST_CALLS)
