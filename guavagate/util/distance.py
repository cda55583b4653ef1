"""How far apart two instances are, by zone and region."""

import enum
from typing import Protocol

from guavagate.models import RegionId, ZoneId


class Distance(enum.Enum):
    """What traffic between two instances crosses."""

    SAME_ZONE = 'same zone'
    SAME_REGION = 'same region'
    OTHER_REGION = 'other region'
    UNKNOWN = 'unknown'


class Place(Protocol):
    """Where an instance runs."""

    @property
    def availability_zone(self) -> ZoneId:
        """Return its zone."""

    @property
    def region(self) -> RegionId:
        """Return the zone's region."""


def measure_distance(here: Place | None, there: Place | None) -> Distance:
    """Return the distance; unknown unless both instances are known."""
    if here is None or there is None:
        return Distance.UNKNOWN
    if here.region != there.region:
        return Distance.OTHER_REGION
    if here.availability_zone != there.availability_zone:
        return Distance.SAME_REGION
    return Distance.SAME_ZONE
