"""Decides which upstreams a request may use; uses no network.

Failure pattern: several paths lead to an upstream (plain requests, streams,
items, rewards, probes, orders). If each applied its own conditions, a new
condition would miss some of them: requests went on to a zone that operators had
evacuated, or left the regions to which their team is bound.
"""

import enum
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final

from guavagate.models import ANYWHERE, RegionId, Regions, ZoneId
from guavagate.ports.upstreams import Upstream


class Obstacle(enum.Enum):
    """Why a request may not use an upstream."""

    OUTSIDE_REGIONS = 'outside the regions'
    EVACUATED = 'its zone is evacuated'
    WARMING_UP = 'warming up'
    LEAVING = 'leaving'


# The order in which a refusal names one of several obstacles: first what no
# retry changes soon. Upstreams outside the regions are the reason only if there
# are none inside.
_BY_WEIGHT: Final = (
    Obstacle.EVACUATED,
    Obstacle.WARMING_UP,
    Obstacle.LEAVING,
    Obstacle.OUTSIDE_REGIONS,
)
_NO_REGIONS: Final[Mapping[ZoneId, RegionId]] = MappingProxyType({})


class Eligibility:
    """The conditions that an instance applies to every path to an upstream.

    Attributes
    ----------
    evacuated
        The zones whose upstreams get nothing new.
    awaits_evacuations
        Whether the evacuated zones are still unknown, as after a start. Any
        zone may be one of them, so no upstream gets anything.
    may_be_outdated
        Returns whether an evacuation may have been missed. Asked right before
        a request is sent: the upstreams to choose from stay the same meanwhile.
    region_of
        The region of each zone. A zone without one is in no region, so bound
        requests do not use it.
    """

    def __init__(
        self, region_of: Mapping[ZoneId, RegionId] = _NO_REGIONS
    ) -> None:
        self.evacuated: frozenset[ZoneId] = frozenset()
        self.awaits_evacuations = False
        self.may_be_outdated: Callable[[], bool] = bool
        self.region_of = region_of

    def find_obstacle(
        self, upstream: Upstream, regions: Regions = ANYWHERE
    ) -> Obstacle | None:
        """Return why a request may not use an upstream, or `None`."""
        if regions is not None and not self._is_inside(upstream, regions):
            return Obstacle.OUTSIDE_REGIONS
        if self.awaits_evacuations or upstream.zone in self.evacuated:
            return Obstacle.EVACUATED
        if upstream.leaving:
            return Obstacle.LEAVING
        return None

    def explain(
        self, upstreams: Iterable[Upstream], regions: Regions = ANYWHERE
    ) -> Obstacle | None:
        """Return why a request may use none of some upstreams.

        `None` if it may use one, or if there are none.
        """
        obstacles = {self.find_obstacle(each, regions) for each in upstreams}
        if None in obstacles:
            return None
        return next((each for each in _BY_WEIGHT if each in obstacles), None)

    def _is_inside(
        self, upstream: Upstream, regions: frozenset[RegionId]
    ) -> bool:
        return self.region_of.get(upstream.zone) in regions
