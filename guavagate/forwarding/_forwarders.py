"""Makes the forwarders of an instance, which share connections and loads."""

import functools

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
from guavagate.metrics import Metrics, names
from guavagate.ports.dialect import Dialect, ProbeDialect
from guavagate.quarantine import Quarantine
from guavagate.routing import RouteTable, UpstreamTable


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


def make_forwarders(
    clock: Clock,
    pool: ConnectionPool,
    routes: RouteTable,
    upstreams: UpstreamTable,
    dialect: Dialect,
    quarantine: Quarantine,
    outages: OutageDetector | None = None,
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
        unary=Forwarder(clock, upstreams, runner, guard, outages),
        streams=StreamForwarder(clock, upstreams, runner, guard),
        rewards=RewardForwarder(
            clock, routes, upstreams, runner, dialect, guard, outages
        ),
        keep_alive=keep_alive,
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
    prober = Prober(clock, pool, routes, dialect, metrics)
    detector = OutageDetector(clock, upstreams, prober.probe, notices)
    metrics.add_refresher(
        lambda: metrics.set_gauge(
            names.UNRESPONSIVE_SERVICES, detector.count_unresponsive()
        )
    )
    return detector
