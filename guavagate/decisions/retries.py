"""Budget for retries and hedges, as a share of successes.

Load pattern: half of the upstreams fail for thirty seconds.

Without a budget: three attempts for each request triple the load on the healthy
half at the worst moment. It fails too, and stays down after the cause is gone,
because the retries keep it overloaded.

Non-idempotent work is never retried once it may have started.
"""

from typing import Final

# Retries earned by each success: extra work stays below 10 % of useful work,
# whatever fails.
RETRY_SHARE: Final = 0.08
# Hedges are for slow tails, not for failures; one request in twenty exceeds the
# p95.
HEDGE_SHARE: Final = 0.05
# Largest unspent budget. A pool with little load survives the loss of one
# sampler with all its slots in use, but a retry storm doesn't fit in.
MAX_SAVED: Final = 8.0
# Attempts per request, the first included.
MAX_ATTEMPTS: Final = 3
# A hedge starts when work has taken this many times its expected time: twice
# for a length estimate off by two, plus a margin for the batch.
HEDGE_AFTER_FACTOR: Final = 2.5


class Budget:
    """Earns a share of each success and spends one per extra attempt."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = MAX_SAVED / 2

    def earn(self) -> None:
        """Add the share of one success."""
        self._saved = min(self._saved + self._share, MAX_SAVED)

    def spend(self) -> bool:
        """Spend one extra attempt; return whether the budget allows it."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


def may_retry(*, idempotent: bool, started: bool, attempts: int) -> bool:
    """Return whether failed work may be retried, apart from the budget."""
    if started and not idempotent:
        return False
    return attempts < MAX_ATTEMPTS
