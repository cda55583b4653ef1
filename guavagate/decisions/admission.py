"""Admission by deadline and expected wait.

Load pattern: twice as much work as the samplers can answer in time.
Without it: every request waits until it is nearly or truly late, the samplers
spend themselves on answers that nobody takes, and in-time answers collapse
towards none although all samplers are busy.

Expected times come from measured seconds per token. Estimated lengths are
wrong by a factor of two either way. Two things cope with that: the errors of
the many requests ahead average out, so the wait uses the mean of actual to
estimated length; a request's own length does not average out, so its own time
uses a high quantile of that ratio. The expected wait itself is
corrected by how earlier waits turned out, for each caller. And work is looked
at again when it reaches the head of the queue: what can no longer be in time
is refused there, still truly not run.
"""

from collections.abc import Hashable
from typing import Final

from guavagate.decisions._work import RefusalReason

# A tenth of each answer moves the mean: about twenty answers to follow a
# change, which a busy sampler gives in seconds.
_SMOOTHING: Final = 0.1
# The share of requests whose own time is no longer than planned: one in
# fifty of those admitted at the very edge is late.
OWN_QUANTILE: Final = 0.98
# Step of the quantile estimate, as a share of its value.
_QUANTILE_STEP: Final = 0.05
# Before anything is known, between exact and off by two.
_FIRST_HIGH: Final = 1.5
# Of the requests let in, this share shall start before the expected wait:
# what is let in and refused later has waited for nothing.
WAIT_QUANTILE: Final = 0.98
_WAIT_STEP: Final = 0.1
# Shorter waits are a matter of which slot ends next and say nothing.
_MIN_WAIT_S: Final = 0.1
# Callers whose waits are remembered, the first of them goes first.
MAX_OWNERS: Final = 1_024
# A ratio beyond these says more about a broken estimate than about lengths.
_RATIO_RANGE: Final = (0.1, 10.0)
# A shorter expected wait is no queue: a slot ends now and then.
QUEUE_S: Final = 0.5
# Never ask a caller to return sooner or later than this, in seconds.
RETRY_AFTER_RANGE: Final = (0.1, 30.0)
# Memory of a home: 4 KB an entry would be 40 MB at this length of queue, of
# which a home with small entries uses a tenth.
MAX_QUEUED: Final = 10_000


class Quantile:
    """A quantile of a positive ratio, learnt step by step."""

    __slots__ = ('_share', '_step', 'value')

    def __init__(self, share: float, start: float, step: float) -> None:
        self._share = share
        self._step = step
        self.value = start

    def learn(self, ratio: float) -> None:
        """Move up a lot when the ratio is above, down a little when below."""
        low, high = _RATIO_RANGE
        rise = self._share if ratio > self.value else self._share - 1
        moved = self.value * (1 + self._step * rise)
        self.value = min(max(moved, low), high)


class LengthEstimate:
    """How actual lengths relate to the estimated ones."""

    def __init__(self) -> None:
        self.mean: float = 1
        self._high = Quantile(OWN_QUANTILE, _FIRST_HIGH, _QUANTILE_STEP)

    @property
    def high(self) -> float:
        """Return the ratio that few answers exceed."""
        return max(self._high.value, self.mean)

    def learn(self, estimated: float, actual: float) -> None:
        """Take in one answer's length."""
        low, high = _RATIO_RANGE
        ratio = min(max(actual / max(estimated, 1), low), high)
        self.mean += _SMOOTHING * (ratio - self.mean)
        self._high.learn(ratio)


class WaitEstimate:
    """How actual waits relate to the expected ones, by caller.

    The expected wait counts what is queued; what comes later and is served
    first is known only by its effect, which differs between callers.
    """

    def __init__(self) -> None:
        self._common = self._make(1)
        self._owners: dict[Hashable, Quantile] = {}

    def correct(self, owner: Hashable, wait: float) -> float:
        """Return the wait that few of this caller's requests exceed."""
        quantile = self._owners.get(owner, self._common)
        return wait * quantile.value

    def learn(self, owner: Hashable, expected: float, actual: float) -> None:
        """Take in one request's wait until it started or was refused."""
        if expected < _MIN_WAIT_S:
            return
        quantile = self._owners.get(owner)
        if quantile is None:
            quantile = self._make(self._common.value)
            self._owners[owner] = quantile
            if len(self._owners) > MAX_OWNERS:
                self._owners.pop(next(iter(self._owners)))
        quantile.learn(actual / expected)
        self._common.learn(actual / expected)

    def _make(self, start: float) -> Quantile:
        return Quantile(WAIT_QUANTILE, start, _WAIT_STEP)


def check_deadline(
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


def compute_retry_after(wait: float, patience: float) -> float:
    """Return the seconds after which the queue has room for such work."""
    low, high = RETRY_AFTER_RANGE
    return min(max(wait - patience, low), high)
