"""Computes the number of upstreams per zone; uses no network.

Load pattern: each of a few trainers submits hundreds of items at once and waits
for the longest of them. Items without a slot start when the first ones end, so
the last long text starts seconds late and delays the whole step. What matters
is therefore the number of slots at the time of the burst, not their average
use. Spot upstreams cost a fraction of regular ones, but the platform may
reclaim all of a zone with seconds of notice: they are spread so that those left
after the loss of any one zone still have enough slots for the burst. While a
zone has none, the other zones' spot upstreams fill in, and regular ones only
for what steps would be late without.
"""

import enum
import math
from collections.abc import Collection, Container, Mapping
from typing import Final

import msgspec

from guavagate.models import ZoneId
from guavagate.ports.configuration import Scaling


class CapacityType(enum.Enum):
    """Whether the platform may reclaim an upstream (spot) or not."""

    REGULAR = 'regular'
    SPOT = 'spot'


class UpstreamCounts(msgspec.Struct):
    """A service's upstreams in a zone, without those that are leaving.

    `reclaimed` counts spot upstreams that leave at a given time.
    """

    regular: int = 0
    spot: int = 0
    reclaimed: int = 0


Targets = dict[tuple[ZoneId, CapacityType], int]
# Upstreams per upstream that a burst fills: some are slow, loading or lost.
HEADROOM: Final = 1.1


def choose_targets(
    scaling: Scaling,
    baseline: Mapping[ZoneId, int],
    demand: float,
    spot_unavailable: Container[ZoneId] = (),
    needed: float | None = None,
    retried: Collection[ZoneId] = (),
    present: Mapping[ZoneId, int] | None = None,
    replaced: Container[ZoneId] = (),
) -> Targets:
    """Return the target number of upstreams by zone and capacity type.

    Parameters
    ----------
    baseline
        Regular upstreams that stay regardless of the demand, by zone.
    demand
        The number of upstreams that the burst would fill.
    spot_unavailable
        Zones in which the platform has no spot upstreams now; what is there
        stays, and the other zones and regular ones replace the rest.
    needed
        The number of upstreams without which steps would be late, if known;
        otherwise the demand counts.
    retried
        The unavailable zones in which spot upstreams are ordered again: at
        least one, and otherwise as many as fit beside the regular ones.
    present
        The number of spot upstreams in each zone.
    replaced
        The evacuated zones. They get no target, so nothing is ordered or given
        back there, and the other zones replace their upstreams. These have no
        spare capacity for the loss of another zone then.
    """
    left = present or {}
    zones = [each for each in baseline if each not in replaced]
    zones.sort(key=lambda each: scaling.zone_prices.get(each, 1))
    regular = {zone: _clamp(scaling, baseline[zone]) for zone in zones}
    room = {
        zone: max(scaling.max_upstreams - regular[zone], 0) for zone in zones
    }
    base = sum(regular.values())
    extra = max(math.ceil(demand * HEADROOM) - base, 0)
    spare = 1 if len(zones) == len(baseline) else 0
    shares = _spread_over_zones(room, extra, spare)
    spots = {
        zone: min(left.get(zone, 0), share)
        if zone in spot_unavailable
        else share
        for zone, share in shares.items()
    }
    if any(zone in spot_unavailable for zone in zones):
        _fill_other_zones(spots, room, spot_unavailable, extra)
        short = extra
        if needed is not None:
            short = min(extra, math.ceil(needed * HEADROOM) - base)
        _add_regular(regular, spots, room, short - sum(spots.values()))
    for zone in retried:
        if shares.get(zone, 0) > spots.get(zone, 0):
            free = scaling.max_upstreams - regular[zone]
            spots[zone] = max(min(shares[zone], free), spots[zone] + 1)
            limit = scaling.max_upstreams - spots[zone]
            regular[zone] = min(regular[zone], limit)
    targets: Targets = {}
    for zone in zones:
        targets[zone, CapacityType.REGULAR] = regular[zone]
        targets[zone, CapacityType.SPOT] = spots[zone]
    return targets


def _fill_other_zones(
    spots: dict[ZoneId, int],
    room: Mapping[ZoneId, int],
    unavailable: Container[ZoneId],
    extra: int,
) -> None:
    """Add spot upstreams in the other zones until there are `extra`.

    Usually that is none: the shares already allow for the loss of a zone.
    """
    free = {
        zone: 0 if zone in unavailable else room[zone] - amount
        for zone, amount in spots.items()
    }
    _fill(spots, free, extra - sum(spots.values()))


def _add_regular(
    regular: dict[ZoneId, int],
    spots: Mapping[ZoneId, int],
    room: Mapping[ZoneId, int],
    missing: int,
) -> None:
    """Add regular upstreams where there is room, evenly over the zones."""
    added = dict.fromkeys(regular, 0)
    free = {zone: room[zone] - spots[zone] for zone in regular}
    _fill(added, free, missing)
    for zone, amount in added.items():
        regular[zone] += amount


def _fill(
    amounts: dict[ZoneId, int], free: dict[ZoneId, int], missing: int
) -> None:
    """Distribute what is missing, each to the zone with the least."""
    for _ in range(missing):
        open_zones = [zone for zone in amounts if free[zone] > 0]
        if not open_zones:
            return
        zone = min(open_zones, key=amounts.__getitem__)
        amounts[zone] += 1
        free[zone] -= 1


def _clamp(scaling: Scaling, amount: int) -> int:
    return max(min(amount, scaling.max_upstreams), scaling.min_upstreams)


def _spread_over_zones(
    available: Mapping[ZoneId, int], extra: int, spare: int
) -> dict[ZoneId, int]:
    """Return the number of additional upstreams by zone.

    The zones that are left after the loss of any `spare` of them still have
    `extra` upstreams, unless a zone has no room for its share.
    """
    others = max(len(available) - spare, 1)
    share = math.ceil(extra / others)
    return {zone: min(share, free) for zone, free in available.items()}
