"""Computes the number of upstreams per zone; uses no network.

Load pattern: each of a few trainers submits hundreds of items at once and waits
for the longest of them. Items without a slot start when the first ones end, so
the last long text starts seconds late and delays the whole step. What matters
is therefore the number of slots at the time of the burst, not their average
use. Spot upstreams cost a fraction of regular ones, but the platform may
reclaim all of a zone with seconds of notice: they are spread so that those left
after the loss of any one zone still have enough slots for the burst.
"""

import enum
import math
from collections.abc import Container, Mapping
from typing import Final

import msgspec

from guavagate.models import ZoneId
from guavagate.ports.configuration import Scaling


class CapacityType(enum.Enum):
    """Whether the platform may reclaim an upstream (spot) or not."""

    REGULAR = 'regular'
    SPOT = 'spot'


class UpstreamCounts(msgspec.Struct):
    """A service's upstreams in a zone, without those that are leaving."""

    regular: int = 0
    spot: int = 0


Targets = dict[tuple[ZoneId, CapacityType], int]
# Upstreams per upstream that a burst fills: some are slow, loading or lost.
HEADROOM: Final = 1.1


def choose_targets(
    scaling: Scaling,
    baseline: Mapping[ZoneId, int],
    demand: float,
    spot_unavailable: Container[ZoneId] = (),
) -> Targets:
    """Return the target number of upstreams by zone and capacity type.

    Parameters
    ----------
    baseline
        Regular upstreams that stay regardless of the demand, by zone.
    demand
        The number of upstreams that the burst would fill.
    spot_unavailable
        Zones in which the platform has no spot upstreams; regular ones replace
        them there.
    """
    zones = sorted(baseline, key=lambda each: scaling.zone_prices.get(each, 1))
    regular = {zone: _clamp(scaling, baseline[zone]) for zone in zones}
    available = {
        zone: max(scaling.max_upstreams - regular[zone], 0) for zone in zones
    }
    extra = max(math.ceil(demand * HEADROOM) - sum(regular.values()), 0)
    shares = _spread_over_zones(available, extra)
    targets: Targets = {}
    for zone in zones:
        use_regular = zone in spot_unavailable
        targets[zone, CapacityType.REGULAR] = (
            regular[zone] + shares[zone] * use_regular
        )
        targets[zone, CapacityType.SPOT] = shares[zone] * (not use_regular)
    return targets


def _clamp(scaling: Scaling, amount: int) -> int:
    return max(min(amount, scaling.max_upstreams), scaling.min_upstreams)


def _spread_over_zones(
    available: Mapping[ZoneId, int], extra: int
) -> dict[ZoneId, int]:
    """Return the number of additional upstreams by zone.

    The zones that are left after the loss of any one of them still have `extra`
    upstreams, unless a zone has no room for its share.
    """
    others = max(len(available) - 1, 1)
    share = math.ceil(extra / others)
    return {zone: min(share, free) for zone, free in available.items()}
