"""Admission by deadline and expected wait.

Load pattern: twice as much work as the samplers can answer in time.

Without admission control: every request waits until it is nearly or already
late, the samplers spend their time on answers that no caller uses any more, and
answers in time fall towards none although all samplers are busy.

Expected times come from measured seconds per token. Estimated lengths are wrong
by a factor of two either way, which is handled in two ways. The errors of the
many requests ahead average out, so the wait uses the mean ratio of actual to
estimated length. A request's own length doesn't average out, so its own time
uses a high quantile of that ratio.

The expected wait itself is corrected per requester by how earlier waits turned
out. Work is checked again when it reaches the head of the queue: if it can no
longer be in time, it is refused there, before it has run.
"""

from collections.abc import Hashable
from typing import Final

from guavagate.decisions._work import RefusalReason

# Weight of one answer in the mean. It follows a change within about twenty
# answers, which a busy sampler gives in seconds.
_SMOOTHING: Final = 0.1
# Share of requests whose own time is at most the planned one: of those admitted
# with no time to spare, one in fifty is late.
OWN_QUANTILE: Final = 0.98
# Step of the quantile estimate, as a share of its value.
_QUANTILE_STEP: Final = 0.05
# Initial ratio, between an exact estimate and one off by two.
_INITIAL_HIGH_RATIO: Final = 1.5
# Share of admitted requests that shall start within the expected wait: those
# admitted and refused later have waited for nothing.
WAIT_QUANTILE: Final = 0.98
_WAIT_STEP: Final = 0.1
# Shorter waits depend on which slot frees up next and are no evidence.
_MIN_WAIT_SECONDS: Final = 0.1
# Requesters whose waits are remembered; the oldest is removed first.
MAX_REQUESTERS: Final = 1_024
# Ratios outside this range indicate a broken estimate, not unusual lengths.
_RATIO_RANGE: Final = (0.1, 10.0)
# A shorter expected wait is no queue, since slots free up all the time.
MIN_QUEUE_WAIT_SECONDS: Final = 0.5
# Shortest and longest time after which a caller is asked to retry, in seconds.
RETRY_AFTER_RANGE_SECONDS: Final = (0.1, 30.0)
# Limits the memory of a queue owner: at 4 KB an item this queue takes 40 MB,
# and with small items a tenth of that.
MAX_QUEUED: Final = 10_000


class Quantile:
    """A quantile of a positive ratio, learned step by step."""

    __slots__ = ('_share', '_step', 'value')

    def __init__(self, share: float, start: float, step: float) -> None:
        self._share = share
        self._step = step
        self.value = start

    def learn(self, ratio: float) -> None:
        """Move up a lot if the ratio is above, down a little if it is below."""
        low, high = _RATIO_RANGE
        rise = self._share if ratio > self.value else self._share - 1
        moved = self.value * (1 + self._step * rise)
        self.value = min(max(moved, low), high)


class LengthEstimate:
    """Ratio of actual to estimated lengths."""

    def __init__(self) -> None:
        self.mean: float = 1
        self._high = Quantile(OWN_QUANTILE, _INITIAL_HIGH_RATIO, _QUANTILE_STEP)

    @property
    def high(self) -> float:
        """Return the ratio that few answers exceed."""
        return max(self._high.value, self.mean)

    def learn(self, estimated: float, actual: float) -> None:
        """Record the length of one answer."""
        low, high = _RATIO_RANGE
        ratio = min(max(actual / max(estimated, 1), low), high)
        self.mean += _SMOOTHING * (ratio - self.mean)
        self._high.learn(ratio)


class WaitEstimate:
    """Ratio of actual to expected waits, by requester.

    The expected wait counts what is queued. Work that arrives later and is
    served first shows only by its effect, which differs between requesters.
    """

    def __init__(self) -> None:
        self._common = self._make(1)
        self._quantiles: dict[Hashable, Quantile] = {}

    def correct(self, requester: Hashable, wait: float) -> float:
        """Return the wait that few of this requester's items exceed."""
        quantile = self._quantiles.get(requester, self._common)
        return wait * quantile.value

    def learn(
        self, requester: Hashable, expected: float, actual: float
    ) -> None:
        """Record one request's wait until it started or was refused."""
        if expected < _MIN_WAIT_SECONDS:
            return
        quantile = self._quantiles.get(requester)
        if quantile is None:
            quantile = self._make(self._common.value)
            self._quantiles[requester] = quantile
            if len(self._quantiles) > MAX_REQUESTERS:
                self._quantiles.pop(next(iter(self._quantiles)))
        quantile.learn(actual / expected)
        self._common.learn(actual / expected)

    def _make(self, start: float) -> Quantile:
        return Quantile(WAIT_QUANTILE, start, _WAIT_STEP)


def check_deadline(
    now: float,
    deadline: float,
    wait: float,
    run_seconds: float,
) -> RefusalReason | None:
    """Return why work with this wait and run time is refused, if it is.

    Parameters
    ----------
    wait
        Expected seconds in the queue.
    run_seconds
        Expected seconds on a sampler.
    """
    if now + wait + run_seconds > deadline:
        return RefusalReason.TOO_LATE
    return None


def compute_retry_after(wait: float, time_left: float) -> float:
    """Return the seconds until the queue should have room for the work."""
    low, high = RETRY_AFTER_RANGE_SECONDS
    return min(max(wait - time_left, low), high)
