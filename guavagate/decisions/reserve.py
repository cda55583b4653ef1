"""Slots that long work may not take while short work keeps arriving.

Load pattern: long jobs, or a trainer's samples, beside short requests. While no
short request is queued for a moment, long ones fill every slot.

Without reserved slots: no order helps, since running work isn't interrupted.
Long jobs occupy all slots until they end, and short requests that arrive
meanwhile wait for many times their own length.

Some slots, sized by the recent demand of short work, are reserved for it.
"""

import math
from typing import Final

from guavagate.decisions._work import Work, WorkKind

# Work beyond this multiple of the usual length (geometric mean) is long.
# Estimates that are wrong by a factor of two either way must not make it long.
LONG_FACTOR: Final = 4.0
# At most this share of the slots is reserved, so that long work gets most of
# them. `DEMAND_MARGIN` adds to the demand of short work, as its arrivals vary.
MAX_SHARE: Final = 0.5
DEMAND_MARGIN: Final = 1.25
# Time constant with which the demand of short work decays.
DEMAND_DECAY_SECONDS: Final = 10.0
_SMOOTHING: Final = 0.02


class Reserve:
    """Usual length of work, and the recent demand of short work."""

    def __init__(self) -> None:
        self._mean_log_cost: float | None = None
        self._demand: float = 0
        self._last_arrival_at: float = 0

    def record_arrival(self, work: Work, cost: float, now: float) -> None:
        """Count work that arrives; `cost` is in tokens."""
        if work.kind is not WorkKind.INTERACTIVE:
            return
        log = math.log(max(cost, 1))
        if self._mean_log_cost is None:
            self._mean_log_cost = log
        self._mean_log_cost += _SMOOTHING * (log - self._mean_log_cost)
        if not self.is_long(work, cost):
            self._demand = self._decay_demand(now) + cost
            self._last_arrival_at = now

    def is_long(self, work: Work, cost: float) -> bool:
        """Return whether work is long compared to the usual requests."""
        if work.kind is WorkKind.ROLLOUT:
            return True
        if self._mean_log_cost is None:
            return False
        return math.log(max(cost, 1)) > self._mean_log_cost + _LONG_LOG

    def compute_slots(
        self, slots: int, token_interval: float, now: float
    ) -> float:
        """Return the number of slots reserved for short work."""
        used = self._decay_demand(now) / DEMAND_DECAY_SECONDS * token_interval
        return min(DEMAND_MARGIN * used, MAX_SHARE * slots)

    def _decay_demand(self, now: float) -> float:
        return self._demand * math.exp(
            -(now - self._last_arrival_at) / DEMAND_DECAY_SECONDS
        )


_LONG_LOG: Final = math.log(LONG_FACTOR)
