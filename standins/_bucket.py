"""A limit on calls a second."""

import time


class TokenBucket:
    """A rate limit of so many calls a second, with a second's burst.

    Parameters
    ----------
    rate
        Calls a second; 0 for no limit.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._at = time.monotonic()

    def take(self) -> bool:
        """Take one call, or say that there is none left."""
        if not self._rate:
            return True
        now = time.monotonic()
        self._left += (now - self._at) * self._rate
        self._left = min(self._left, self._rate)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
