"""Whether a service is saturated, as one entry sees it.

Only then do entries ask the queue owner. The state lasts for some time after
the last sign: under the owner's grants the upstreams are no longer overfilled,
and without that time each entry would overfill them again at once.
"""

import math
from collections.abc import Iterable
from typing import Final

import msgspec

from guavagate.models import UpstreamId
from guavagate.routing import Load

# Two seconds without a refusal, a waiting request or a queue at the owner are
# some twenty times the work of a request.
QUIET_SECONDS: Final = 2.0
# An older report says nothing about the present load.
REPORT_MAX_AGE_SECONDS: Final = 0.5


class UpstreamLoad(msgspec.Struct, frozen=True):
    """The load of one upstream as it is known here; 0 slots if unknown."""

    id: UpstreamId
    load: Load
    slots: int

    def has_waiting(self, now: float) -> bool:
        """Return whether a fresh report says that requests wait there."""
        return self.is_fresh(now) and self.load.reported_busy > self.slots

    def is_full(self, now: float) -> bool:
        """Return whether a fresh report says that no slot is free there."""
        return self.is_fresh(now) and self.load.reported_busy >= self.slots

    def is_fresh(self, now: float) -> bool:
        """Return whether the upstream has reported its load just now."""
        age = now - self.load.reported_at
        return self.slots > 0 and age < REPORT_MAX_AGE_SECONDS


class Saturation:
    """The state of one service."""

    def __init__(self) -> None:
        self._last_sign = -math.inf

    def record_sign(self, now: float) -> bool:
        """Record a sign of saturation; return whether the state begins."""
        begins = not self.is_saturated(now)
        self._last_sign = now
        return begins

    def is_saturated(self, now: float) -> bool:
        """Return whether requests need the queue owner's permission."""
        return now - self._last_sign < QUIET_SECONDS

    def check_reports(
        self, upstreams: Iterable[UpstreamLoad], now: float
    ) -> bool:
        """Return whether the state begins by the upstreams' reports."""
        if any(each.has_waiting(now) for each in upstreams):
            return self.record_sign(now)
        return False
