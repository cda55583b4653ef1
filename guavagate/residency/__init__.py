"""Binds requests and their bodies to the regions of routes and teams."""

from guavagate.residency._const import OUTSIDE_RETRY_SECONDS
from guavagate.residency._jobs import (
    BoundJob,
    JobBounds,
    JobResidency,
    UnboundJobs,
)
from guavagate.residency._regions import (
    combine_regions,
    find_default_regions,
    find_home_regions,
    find_no_regions,
    find_shared_regions,
    is_inside,
    make_region_map,
    read_regions,
)
from guavagate.residency._requests import (
    RequestBounds,
    RequestResidency,
    Unbound,
)
from guavagate.residency._residency import Residency

__all__ = (
    'OUTSIDE_RETRY_SECONDS',
    'BoundJob',
    'JobBounds',
    'JobResidency',
    'RequestBounds',
    'RequestResidency',
    'Residency',
    'Unbound',
    'UnboundJobs',
    'combine_regions',
    'find_default_regions',
    'find_home_regions',
    'find_no_regions',
    'find_shared_regions',
    'is_inside',
    'make_region_map',
    'read_regions',
)
