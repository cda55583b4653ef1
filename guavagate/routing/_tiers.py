"""The cost of the way to an upstream: own zone, own region, other regions.

A free slot in the own region is better than one in another region, and a long
queue there is worse. How much worse depends on the round trip, which the probes
of the membership measure.
"""

import statistics
from collections.abc import Callable, Mapping
from typing import Final

from guavagate.clock import Clock
from guavagate.models import RegionId, ZoneId
from guavagate.routing._eligibility import Eligibility

# Costs are added to the used fraction of an upstream's slots. Queueing may take
# longer than the round trip to another zone, so a free slot in another zone
# beats a queue of one in this zone, but not an equally free upstream.
REMOTE_ZONE_COST: Final = 0.2
# Less than a failed request costs, as an upstream that fails is worse than one
# that is far away, and more than five of six slots in use in the own region.
MAX_REGION_COST: Final = 0.9
# Round trips change with the network's routes, not with each request.
REFRESH_SECONDS: Final = 5.0

MeasureZones = Callable[[], Mapping[ZoneId, float]]


def compute_region_costs(
    own_region: RegionId | None,
    own_zone: ZoneId,
    region_of: Mapping[ZoneId, RegionId],
    round_trips: Mapping[ZoneId, float],
) -> dict[RegionId, float]:
    """Return the cost of each other region.

    It is that of another zone of the own region, times the ratio of the
    middle round trips. A region to which nothing was measured is the farthest.

    Parameters
    ----------
    round_trips
        Seconds to each zone, as far as they were measured.
    """
    by_region: dict[RegionId, list[float]] = {
        region: [] for region in region_of.values()
    }
    for zone, seconds in round_trips.items():
        if zone in region_of and zone != own_zone:
            by_region[region_of[zone]].append(seconds)
    near = by_region.get(own_region, []) if own_region else []
    return {
        region: _compute_cost(near, far)
        for region, far in by_region.items()
        if region != own_region
    }


def _compute_cost(near: list[float], far: list[float]) -> float:
    if not near or not far or min(near) <= 0:
        return MAX_REGION_COST
    ratio = statistics.median(far) / statistics.median(near)
    return min(max(ratio, 1) * REMOTE_ZONE_COST, MAX_REGION_COST)


def measure_nothing() -> Mapping[ZoneId, float]:
    """Return no round trips."""
    return {}


class ZoneCosts:
    """The costs of the zones as seen from one zone."""

    def __init__(
        self,
        zone: ZoneId,
        clock: Clock,
        eligibility: Eligibility,
        measure_zones: MeasureZones = measure_nothing,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._eligibility = eligibility
        self._measure_zones = measure_zones
        self._costs: dict[RegionId, float] = {}
        self._refresh_at = float('-inf')

    def get(self, zone: ZoneId) -> float:
        """Return the cost of an upstream in a zone."""
        if zone == self._zone:
            return 0
        region_of = self._eligibility.region_of
        if len(set(region_of.values())) < 2:
            return REMOTE_ZONE_COST
        region = region_of.get(zone)
        if region is None:
            return MAX_REGION_COST
        if region == region_of.get(self._zone):
            return REMOTE_ZONE_COST
        return self._find_cost(region)

    def _find_cost(self, region: RegionId) -> float:
        now = self._clock.now()
        if now >= self._refresh_at or region not in self._costs:
            self._refresh_at = now + REFRESH_SECONDS
            region_of = self._eligibility.region_of
            self._costs = compute_region_costs(
                region_of.get(self._zone),
                self._zone,
                region_of,
                self._measure_zones(),
            )
        return self._costs[region]
