"""Remembers where upstreams can't be ordered now; uses no network.

Failure pattern: the platform reclaims all spot upstreams of a zone and has none
there for the next 8 to 11 seconds, at times in no zone. Repeated at each check,
the order is refused again and again; repeated after a fixed long time, regular
upstreams are paid for meanwhile. An order may also be accepted and not carried
out. Each of these makes the zone unavailable for that kind, until an order that
is repeated with growing intervals is accepted.
"""

from collections.abc import Iterable
from typing import Final

import msgspec

from guavagate.duties._targets import CapacityType
from guavagate.models import ZoneId

# The first interval after a refusal; it doubles up to the longest one.
RETRY_SECONDS: Final = 4.0
MAX_RETRY_SECONDS: Final = 16.0
# An order within this time after a reclaim is refused.
RECLAIM_SECONDS: Final = 8.0

Key = tuple[ZoneId, CapacityType]


class _Outage(msgspec.Struct):
    """What is unavailable; `retry_at` is None once an order was accepted."""

    retry_at: float | None = None
    refusals: int = 0


class Supply:
    """The zones and kinds of which no upstreams can be ordered now."""

    def __init__(self) -> None:
        self._outages: dict[Key, _Outage] = {}

    def clear(self) -> None:
        """Forget all; another instance may order meanwhile."""
        self._outages.clear()

    def record_refusal(self, key: Key, now: float) -> float:
        """Record a refused or unexecuted order; return when to repeat it."""
        outage = self._outages.setdefault(key, _Outage())
        delay = min(RETRY_SECONDS * 2**outage.refusals, MAX_RETRY_SECONDS)
        outage.refusals += 1
        outage.retry_at = now + delay
        return outage.retry_at

    def record_reclaim(self, zone: ZoneId, now: float) -> None:
        """Record that a zone's spot upstreams are reclaimed."""
        key = zone, CapacityType.SPOT
        self._outages[key] = _Outage(now + RECLAIM_SECONDS)

    def record_acceptance(self, key: Key, now: float) -> None:
        """Record an accepted order; if it isn't carried out, the next waits.

        An order that only releases upstreams during an outage says nothing.
        """
        if self.is_retry_due(key, now):
            self._outages[key].retry_at = None

    def record_arrival(self, key: Key) -> None:
        """Record that ordered upstreams have registered."""
        outage = self._outages.get(key)
        if outage is not None and outage.retry_at is None:
            self._outages.pop(key)

    def is_available(self, key: Key) -> bool:
        """Return whether ordered upstreams come, as far as is known."""
        return key not in self._outages

    def is_awaited(self, key: Key) -> bool:
        """Return whether the first order after an outage was accepted."""
        outage = self._outages.get(key)
        return outage is not None and outage.retry_at is None

    def is_retry_due(self, key: Key, now: float) -> bool:
        """Return whether to try whether upstreams are available again."""
        outage = self._outages.get(key)
        if outage is None or outage.retry_at is None:
            return False
        return now >= outage.retry_at

    def list_unavailable(self, zones: Iterable[ZoneId]) -> list[ZoneId]:
        """Return the zones without spot upstreams."""
        return [
            zone
            for zone in zones
            if not self.is_available((zone, CapacityType.SPOT))
        ]
