"""The budget of retries and hedges, as a share of successes.

Load pattern: half of the upstreams fail for thirty seconds.
Without it: three attempts for each request triple the load on the healthy
half at the worst moment; it fails too, and stays down after the cause is
gone, because the retries keep it there.

Work that isn't idempotent is never tried again once it may have started.
"""

from typing import Final

# Every success earns a tenth of a retry: extra work stays at 10 % of useful
# work at most, whatever fails.
RETRY_SHARE: Final = 0.08
# Hedges answer slow tails, not failures; one in twenty reaches past the p95.
HEDGE_SHARE: Final = 0.05
# Unspent budget is kept up to this many, so that a quiet pool survives the
# loss of one sampler with all its slots in use, and no storm fits in.
MAX_SAVED: Final = 8.0
# Attempts per request, the first included.
MAX_ATTEMPTS: Final = 3
# A hedge starts when work has taken this many times its expected time: twice
# for a length estimate off by two, and a little for the batch.
HEDGE_AFTER: Final = 2.5


class Budget:
    """Earns a share of each success, spends one per extra attempt."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = MAX_SAVED / 2

    def earn(self) -> None:
        """Take in one success."""
        self._saved = min(self._saved + self._share, MAX_SAVED)

    def spend(self) -> bool:
        """Take one extra attempt if there is any."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


def may_retry(*, idempotent: bool, started: bool, attempts: int) -> bool:
    """Return whether failed work may be tried again at all."""
    if started and not idempotent:
        return False
    return attempts < MAX_ATTEMPTS
