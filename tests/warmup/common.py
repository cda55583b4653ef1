"""Counts requests in a sliding second, and names usual limits."""

from collections.abc import Iterable

from guavagate.ports.configuration import Warmup
from guavagate.warmup import StartLimits, WarmupBound

WARMUP = Warmup(per_second=8.2, start_seconds=3)
BOUND = WarmupBound(excess=1.5, slack=5)
MAX_PER_SECOND = 17
LIMITS = StartLimits.compute(WARMUP, BOUND)


def find_most(times: Iterable[float], seconds: float = 1) -> int:
    """Return the largest number of times in any interval."""
    ordered = sorted(times)
    most = 0
    first = 0
    for last, time in enumerate(ordered):
        while ordered[first] <= time - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most
