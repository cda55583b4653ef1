"""Decides which regions bind a request; uses no network.

Failure pattern: a team's data must stay in one region. Its requests reach the
right upstreams, but their bodies pass through instances elsewhere: the owner of
a service's jobs, its successors, or a peer that relays a call to the store. So
upstreams and the instances that hold bodies follow from the same regions.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from guavagate.models import ANYWHERE, RegionId, Regions, ServiceId, ZoneId


def find_no_regions(service: ServiceId) -> Regions:
    """Return that the jobs of a service are not bound."""
    return ANYWHERE


def read_regions(names: Iterable[str] | None) -> Regions:
    """Return the regions that a list names; no names are no bound."""
    regions = frozenset(map(RegionId, names or ()))
    return regions or ANYWHERE


def make_region_map(zones: Mapping[str, object]) -> dict[ZoneId, RegionId]:
    """Return the region of each zone of the settings.

    A value that is no name leaves its zone without a region, so that bound
    requests do not use it.
    """
    return {
        ZoneId(zone): RegionId(region)
        for zone, region in zones.items()
        if isinstance(region, str) and region
    }


def combine_regions(route: Regions, team: Regions) -> Regions:
    """Return the regions that two bounds have in common.

    Empty if they contradict each other; no request may run then.
    """
    if route is None or team is None:
        return team if route is None else route
    return route & team


def is_inside(region: RegionId | None, regions: Regions) -> bool:
    """Return whether a region is one of those that a request may use."""
    return regions is None or region in regions


def find_home_regions(bounds: Iterable[Regions]) -> Regions:
    """Return the regions in which a service's jobs have their owner.

    If the bounds have no region in common, it is the one that most of them
    allow: a takeover within it leaves the accepted jobs runnable.

    Parameters
    ----------
    bounds
        The regions of the routes and teams that may submit jobs, each
        different set once. Those that contradict each other have no jobs.
    """
    named = [each for each in bounds if each]
    if not named:
        return ANYWHERE
    common = frozenset[RegionId].intersection(*named)
    if common:
        return common
    counts = Counter(region for each in named for region in each)
    best = min(counts, key=lambda region: (-counts[region], region))
    return frozenset((best,))


def find_shared_regions(bounds: Iterable[Regions]) -> Regions:
    """Return the regions in which the samplers of a model are useful.

    If the model's jobs have no region in common, those of any of them.
    """
    named = [each for each in bounds if each is not None]
    if not named:
        return ANYWHERE
    common = frozenset[RegionId].intersection(*named)
    return common or frozenset[RegionId]().union(*named)


def find_default_regions(bounds: Iterable[Regions]) -> Regions:
    """Return the regions that any job of a service can use."""
    allowed = [each for each in bounds if each is None or each]
    if any(each is None for each in allowed):
        return ANYWHERE
    return find_shared_regions(allowed)
