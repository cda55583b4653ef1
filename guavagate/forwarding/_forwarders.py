"""Makes the forwarders of an instance, which share connections and loads."""

import functools
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from guavagate.clock import Clock
from guavagate.forwarding._attempt import AttemptRunner
from guavagate.forwarding._forward import Forwarder
from guavagate.forwarding._guard import RequestGuard
from guavagate.forwarding._keep_alive import ConnectionKeepAlive
from guavagate.forwarding._notices import ServiceNotices
from guavagate.forwarding._outages import OutageDetector
from guavagate.forwarding._probes import Prober
from guavagate.forwarding._rewards import RewardForwarder
from guavagate.forwarding._stream import StreamForwarder
from guavagate.http1 import ConnectionPool
from guavagate.links import Bus
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId, ZoneId
from guavagate.ports.dialect import Dialect, ProbeDialect, UpstreamDialect
from guavagate.quarantine import Quarantine
from guavagate.residency import RequestBounds, make_region_map
from guavagate.routing import Eligibility, RouteTable, UpstreamTable


class Fleet(msgspec.Struct, frozen=True):
    """What an instance needs to notify the others.

    `order` returns the live instances, this one included; the first are the
    hubs.
    """

    bus: Bus
    me: InstanceId
    order: Callable[[], Sequence[InstanceId]]


class Forwarders(msgspec.Struct, frozen=True, kw_only=True):
    """One forwarder for each kind of request."""

    unary: Forwarder
    streams: StreamForwarder
    rewards: RewardForwarder
    keep_alive: ConnectionKeepAlive | None = None

    def start(self) -> None:
        """Start what runs beside requests."""
        if self.keep_alive is not None:
            self.keep_alive.start()


class ZoneProbes(Protocol):
    """Knows how far away zones are."""

    def measure_zones(self) -> Mapping[ZoneId, float]:
        """Return the round trips to other zones in seconds."""


def make_upstream_table(
    clock: Clock,
    zone: ZoneId,
    pool: ConnectionPool,
    zones: Mapping[str, object],
    members: ZoneProbes,
) -> UpstreamTable:
    """Return a table that knows the pool's connections, and closes old ones.

    Parameters
    ----------
    zones
        The name of each zone's region, as the settings have it.
    """
    table = UpstreamTable(
        clock,
        zone,
        is_connected=pool.has_idle_connection,
        eligibility=Eligibility(make_region_map(zones)),
        measure_zones=members.measure_zones,
    )
    table.subscribe_address_released(pool.close_idle)
    table.subscribe_restarts(lambda upstream: pool.close_idle(upstream.address))
    return table


def make_forwarders(
    clock: Clock,
    pool: ConnectionPool,
    routes: RouteTable,
    upstreams: UpstreamTable,
    dialect: Dialect,
    quarantine: Quarantine,
    outages: OutageDetector | None = None,
    bounds: RequestBounds | None = None,
) -> Forwarders:
    """Return the forwarders of an instance."""
    quarantine.subscribe_ends(upstreams.record_end)
    runner = AttemptRunner(clock, pool, upstreams, dialect, quarantine)
    guard = RequestGuard(quarantine, upstreams)
    keep_alive = None
    if outages is not None:
        probe = functools.partial(outages.ask, connect=False)
        keep_alive = ConnectionKeepAlive(clock, pool, upstreams, probe)
    return Forwarders(
        unary=Forwarder(clock, upstreams, runner, guard, outages, bounds),
        streams=StreamForwarder(clock, upstreams, runner, guard, bounds),
        rewards=RewardForwarder(
            clock, routes, upstreams, runner, dialect, guard, outages, bounds
        ),
        keep_alive=keep_alive,
    )


def make_fleet_forwarders(
    clock: Clock,
    pool: ConnectionPool,
    routes: RouteTable,
    upstreams: UpstreamTable,
    dialect: UpstreamDialect,
    quarantine: Quarantine,
    metrics: Metrics,
    fleet: Fleet,
    bounds: RequestBounds,
) -> Forwarders:
    """Return forwarders that find unresponsive services for the whole fleet."""
    notices = ServiceNotices(clock, fleet.bus, fleet.me, fleet.order)
    outages = make_outage_detector(
        clock, pool, routes, upstreams, dialect, metrics, notices
    )
    return make_forwarders(
        clock, pool, routes, upstreams, dialect, quarantine, outages, bounds
    )


def make_outage_detector(
    clock: Clock,
    pool: ConnectionPool,
    routes: RouteTable,
    upstreams: UpstreamTable,
    dialect: ProbeDialect,
    metrics: Metrics,
    notices: ServiceNotices,
) -> OutageDetector:
    """Return what finds services of which no upstream responds."""
    prober = Prober(clock, pool, routes, dialect, metrics, upstreams)
    detector = OutageDetector(clock, upstreams, prober.probe, notices)
    metrics.add_refresher(
        lambda: metrics.set_gauge(
            names.UNRESPONSIVE_SERVICES, detector.count_unresponsive()
        )
    )
    return detector
