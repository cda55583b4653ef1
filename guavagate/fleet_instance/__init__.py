"""Builds, starts and stops the parts of an instance of the fleet.

The parts know no platform. What belongs to one platform (names on the wire,
clients, the dialect of its calls) is passed in as a `PlatformAdapter`, and the
values of its settings as `InstanceOptions`.
"""

from guavagate.fleet_instance._adapter import (
    EdgeHandlers,
    ObjectPaths,
    PlatformAdapter,
    StatusStore,
)
from guavagate.fleet_instance._instance import FleetInstance
from guavagate.fleet_instance._options import (
    DutyOptions,
    InstanceOptions,
    LimitOptions,
    ListenOptions,
    StoreOptions,
)

__all__ = (
    'DutyOptions',
    'EdgeHandlers',
    'FleetInstance',
    'InstanceOptions',
    'LimitOptions',
    'ListenOptions',
    'ObjectPaths',
    'PlatformAdapter',
    'StatusStore',
    'StoreOptions',
)
