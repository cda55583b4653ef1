"""Slots that long work may not take while short work keeps coming.

Load pattern: long jobs, or a trainer's samples, beside short requests. In a
moment without short ones queued, long ones fill every slot.
Without it: no order helps, since running work isn't interrupted. All slots
are held for a long job's time, and the short requests that come meanwhile
wait for many times their own length.

A share of the slots, sized by what short work lately used, is left to it.
"""

import math
from typing import Final

from guavagate.decisions._work import Kind, Work

# Work beyond this multiple of the usual length (geometric mean) is long:
# estimates off by two either way must not make it so.
LONG_FACTOR: Final = 4.0
# At most this share of the slots, so that long work keeps most of them, and
# half as much again as the short work used: its arrivals vary.
MAX_SHARE: Final = 0.5
SPARE: Final = 1.25
# Short work that came longer ago than some of these seconds reserves nothing.
MEMORY_S: Final = 10.0
_SMOOTHING: Final = 0.02


class Reserve:
    """How long work usually is, and how much short work comes."""

    def __init__(self) -> None:
        self._mean_log_cost: float | None = None
        self._demand: float = 0
        self._last_arrival_at: float = 0

    def record_arrival(self, work: Work, cost: float, now: float) -> None:
        """Count work that arrives; `cost` is in tokens."""
        if work.kind is not Kind.INTERACTIVE:
            return
        log = math.log(max(cost, 1))
        if self._mean_log_cost is None:
            self._mean_log_cost = log
        self._mean_log_cost += _SMOOTHING * (log - self._mean_log_cost)
        if not self.is_long(work, cost):
            self._demand = self._decayed_demand(now) + cost
            self._last_arrival_at = now

    def is_long(self, work: Work, cost: float) -> bool:
        """Return whether work is long beside the usual requests."""
        if work.kind is Kind.ROLLOUT:
            return True
        if self._mean_log_cost is None:
            return False
        return math.log(max(cost, 1)) > self._mean_log_cost + _LONG_LOG

    def compute_slots(
        self, slots: int, token_interval: float, now: float
    ) -> float:
        """Return how many slots are left to short work."""
        used = self._decayed_demand(now) / MEMORY_S * token_interval
        return min(SPARE * used, MAX_SHARE * slots)

    def _decayed_demand(self, now: float) -> float:
        return self._demand * math.exp(
            -(now - self._last_arrival_at) / MEMORY_S
        )


_LONG_LOG: Final = math.log(LONG_FACTOR)
