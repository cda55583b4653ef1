"""Rate limit for calls."""

import time


class TokenBucket:
    """Token bucket that allows a burst of one second's calls.

    Parameters
    ----------
    rate
        Calls per second; 0 for no limit.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._refilled_at = time.monotonic()

    def take(self) -> bool:
        """Take one token; return whether the call is within the limit."""
        if not self._rate:
            return True
        now = time.monotonic()
        self._tokens += (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens, self._rate)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
