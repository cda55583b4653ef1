"""Store client of one instance, with peers as a second route."""

from collections.abc import Callable

from guavagate.clock import Clock
from guavagate.http1 import ConnectionPool
from guavagate.integrations.object_api._call_metrics import measure_calls
from guavagate.integrations.object_api._peers import PeerFallback
from guavagate.integrations.object_api._rate_shares import count_sharers
from guavagate.integrations.object_api._retrying_client import (
    RetryingClient,
    make_shared_client,
)
from guavagate.integrations.object_api.pool_transport import make_pool_transport
from guavagate.links import Bus
from guavagate.membership import Membership
from guavagate.metrics import Metrics
from guavagate.models import InstanceId


def make_fleet_client(
    address: str,
    clock: Clock,
    bus: Bus,
    metrics: Metrics,
    members: Membership,
    probe_path: str,
    is_urgent: Callable[[], bool],
    reads: float,
    writes: float,
    *,
    has_edge: bool,
    may_relay: Callable[[InstanceId, str], bool],
) -> tuple[PeerFallback, RetryingClient]:
    """Return the client, and the peer fallback that has to be started.

    Parameters
    ----------
    probe_path, is_urgent, may_relay
        See `PeerFallback`.
    reads, writes
        Calls per second that all instances together may make.
    has_edge
        Whether this instance serves callers.
    """
    transport = make_pool_transport(address, ConnectionPool(clock))
    fallback = PeerFallback(
        measure_calls(transport, metrics, clock),
        bus,
        clock,
        members.others,
        probe_path,
        is_urgent,
        may_relay=may_relay,
    )
    client = make_shared_client(
        fallback.call,
        clock,
        lambda: count_sharers(members.alive(), has_edge=has_edge),
        reads=reads,
        writes=writes,
    )
    return fallback, client
