"""Makes the forwarders of an instance, which share connections and loads."""

import msgspec

from guavagate.clock import Clock
from guavagate.forwarding._attempt import AttemptRunner
from guavagate.forwarding._forward import Forwarder
from guavagate.forwarding._guard import RequestGuard
from guavagate.forwarding._preferred import PreferredUpstreams
from guavagate.forwarding._rewards import RewardForwarder
from guavagate.forwarding._stream import StreamForwarder
from guavagate.http1 import ConnectionPool
from guavagate.ports.dialect import Dialect
from guavagate.quarantine import Quarantine
from guavagate.routing import RouteTable, UpstreamTable


class Forwarders(msgspec.Struct, frozen=True, kw_only=True):
    """One forwarder for each kind of request."""

    unary: Forwarder
    streams: StreamForwarder
    rewards: RewardForwarder


def make_forwarders(
    clock: Clock,
    pool: ConnectionPool,
    routes: RouteTable,
    upstreams: UpstreamTable,
    dialect: Dialect,
    quarantine: Quarantine,
) -> Forwarders:
    """Return the forwarders of an instance."""
    quarantine.subscribe_ends(upstreams.record_end)
    runner = AttemptRunner(clock, pool, upstreams, dialect, quarantine)
    guard = RequestGuard(quarantine, upstreams)
    return Forwarders(
        unary=Forwarder(
            clock, PreferredUpstreams(clock, upstreams), runner, guard
        ),
        streams=StreamForwarder(clock, upstreams, runner, guard),
        rewards=RewardForwarder(
            clock, routes, upstreams, runner, dialect, guard
        ),
    )
