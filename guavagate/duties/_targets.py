"""How many upstreams of a service to order where; needs no network.

Load pattern: each of a few trainers submits hundreds of items at one moment and
waits for the longest of them. Items that find no slot begin when the first ones
end, so the last long text begins seconds late and the whole step with it. What
counts is the slots at the moment of the burst, not their mean use. Upstreams
that may be reclaimed cost a fraction, and go zone by zone at seconds of notice:
they are spread so that what is left after the loss of any one zone's still
holds the burst.
"""

import enum
import math
from collections.abc import Container, Mapping
from typing import Final

import msgspec

from guavagate.models import ZoneId
from guavagate.ports.configuration import Scaling


class CapacityType(enum.Enum):
    """What may happen to an upstream."""

    REGULAR = 'regular'
    SPOT = 'spot'


class Fleet(msgspec.Struct):
    """A service's upstreams in a zone; leaving ones don't count."""

    regular: int = 0
    spot: int = 0


Targets = dict[tuple[ZoneId, CapacityType], int]
# Upstreams for each that the burst asks for: some are slow, load or are lost.
SPARE: Final = 1.1


def choose_targets(
    scaling: Scaling,
    base: Mapping[ZoneId, int],
    wanted: float,
    out: Container[ZoneId] = (),
) -> Targets:
    """Return how many upstreams to have, by zone and kind.

    Parameters
    ----------
    base
        Regular upstreams that stay whatever is asked for, by zone.
    wanted
        Upstreams that the burst would fill.
    out
        Zones in which none that may be reclaimed are to be had; regular ones
        stand in for them there.
    """
    zones = sorted(base, key=lambda each: scaling.zone_prices.get(each, 1))
    regular = {zone: _bound(scaling, base[zone]) for zone in zones}
    room = {zone: max(scaling.most - regular[zone], 0) for zone in zones}
    extra = max(math.ceil(wanted * SPARE) - sum(regular.values()), 0)
    shares = _spread(room, extra)
    targets: Targets = {}
    for zone in zones:
        stand_in = zone in out
        targets[zone, CapacityType.REGULAR] = (
            regular[zone] + shares[zone] * stand_in
        )
        targets[zone, CapacityType.SPOT] = shares[zone] * (not stand_in)
    return targets


def _bound(scaling: Scaling, amount: int) -> int:
    return max(min(amount, scaling.most), scaling.least)


def _spread(room: Mapping[ZoneId, int], extra: int) -> dict[ZoneId, int]:
    """Return shares that hold `extra` without any one zone, as far as may be.

    The cheapest zones come first in `room`.
    """
    others = max(len(room) - 1, 1)
    share = math.ceil(extra / others)
    return {zone: min(share, free) for zone, free in room.items()}
