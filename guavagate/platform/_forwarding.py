"""Builds the forwarders of an instance, with probes of the health paths."""

from collections.abc import Callable, Sequence

from guavagate.clock import Clock
from guavagate.forwarding import (
    Forwarders,
    ServiceNotices,
    make_forwarders,
    make_outage_detector,
)
from guavagate.http1 import ConnectionPool
from guavagate.links import Bus
from guavagate.metrics import Metrics
from guavagate.models import InstanceId
from guavagate.platform._dialect import PlatformDialect
from guavagate.quarantine import Quarantine
from guavagate.routing import RouteTable, UpstreamTable


def make_platform_forwarders(
    clock: Clock,
    pool: ConnectionPool,
    routes: RouteTable,
    upstreams: UpstreamTable,
    quarantine: Quarantine,
    metrics: Metrics,
    bus: Bus,
    me: InstanceId,
    order: Callable[[], Sequence[InstanceId]],
) -> Forwarders:
    """Return the forwarders of an instance.

    Parameters
    ----------
    order
        Returns the live instances, this one included; the first are the hubs.
    """
    dialect = PlatformDialect()
    notices = ServiceNotices(clock, bus, me, order)
    outages = make_outage_detector(
        clock, pool, routes, upstreams, dialect, metrics, notices
    )
    return make_forwarders(
        clock, pool, routes, upstreams, dialect, quarantine, outages
    )
