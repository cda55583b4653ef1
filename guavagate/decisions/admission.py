"""Admission by deadline and expected wait.

Load pattern: twice as much work as the samplers can answer in time.
Without it: every request waits until it is nearly or truly late, the samplers
spend themselves on answers that nobody takes, and in-time answers collapse
towards none although all samplers are busy.

Expected times come from measured seconds per token. Estimated lengths are
wrong by a factor of two either way. Two things cope with that: the errors of
the many requests ahead average out, so the wait uses the mean of actual to
estimated length; a request's own length does not average out, so its own time
uses the ninetieth percentile of that ratio. And work is looked at again when
it reaches the head of the queue: what can no longer be in time is refused
there, still truly not run.
"""

from typing import Final

from guavagate.decisions._work import RefusalReason

# A tenth of each answer moves the mean: about twenty answers to follow a
# change, which a busy sampler gives in seconds.
_SMOOTHING: Final = 0.1
# The percentile that a request's own time is planned with: nine in ten of
# those admitted at the very edge are still in time.
OWN_QUANTILE: Final = 0.9
# Step of the quantile estimate, as a share of its value.
_QUANTILE_STEP: Final = 0.02
# A ratio beyond these says more about a broken estimate than about lengths.
_RATIO_RANGE: Final = (0.1, 10.0)
# Never ask a caller to return sooner or later than this, in seconds.
RETRY_AFTER_RANGE: Final = (0.1, 30.0)
# Memory of a home: 4 KB an entry would be 40 MB at this length of queue, of
# which a home with small entries uses a tenth.
MAX_QUEUED: Final = 10_000


class LengthEstimate:
    """How actual lengths relate to the estimated ones."""

    def __init__(self) -> None:
        self.mean = 1.0
        self.high = 1.5

    def learn(self, estimated: float, actual: float) -> None:
        """Take in one answer's length."""
        low, high = _RATIO_RANGE
        ratio = min(max(actual / max(estimated, 1.0), low), high)
        self.mean += _SMOOTHING * (ratio - self.mean)
        # Stochastic quantile: up by q when above, down by 1 - q when below.
        rise = OWN_QUANTILE if ratio > self.high else OWN_QUANTILE - 1
        self.high = max(self.high * (1 + _QUANTILE_STEP * rise), self.mean)


def judge(
    now: float,
    deadline: float,
    wait: float,
    own: float,
) -> RefusalReason | None:
    """Return why work that waits and then runs so long is refused, if at all.

    Parameters
    ----------
    wait
        Expected seconds in the queue.
    own
        Expected seconds on a sampler.
    """
    if now + wait + own > deadline:
        return RefusalReason.TOO_LATE
    return None


def suggest_retry(wait: float, patience: float) -> float:
    """Return the seconds after which the queue has room for such work."""
    low, high = RETRY_AFTER_RANGE
    return min(max(wait - patience, low), high)
