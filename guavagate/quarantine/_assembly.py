"""Builds the quarantine of an instance with real connections."""

from collections.abc import Callable, Sequence

from guavagate.clock import Clock
from guavagate.helpers.mirror import Mirror
from guavagate.http1 import refuses_connections
from guavagate.links import Bus
from guavagate.models import InstanceId, UpstreamId
from guavagate.ports.store import ObjectStore
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine._ends import EndDetector
from guavagate.quarantine._hubs import Hubs
from guavagate.quarantine._quarantine import Quarantine
from guavagate.quarantine._records import STOPPED_REQUESTS


def make_quarantine(
    clock: Clock,
    bus: Bus,
    store: ObjectStore,
    me: InstanceId,
    order: Callable[[], Sequence[InstanceId]],
    find_upstream: Callable[[UpstreamId], Upstream | None],
) -> Quarantine:
    """Return the quarantine of an instance.

    Parameters
    ----------
    order
        Returns the live instances, this one included; the first are the hubs.
    find_upstream
        Returns an upstream's registration, or `None`.
    """
    return Quarantine(
        clock,
        store,
        EndDetector(clock, refuses_connections, find_upstream),
        lambda apply: Hubs(clock, bus, me, order, apply),
    )


def follow_store(
    clock: Clock, store: ObjectStore, quarantine: Quarantine
) -> None:
    """Keep a quarantine up to date with the records of the store."""
    Mirror(
        store,
        clock,
        STOPPED_REQUESTS,
        lambda _, stored: quarantine.put(stored),
        quarantine.remove,
    ).start()
