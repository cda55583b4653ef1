"""Selects the least loaded upstream, preferring the same zone.

Load pattern: a few instances share an upstream's slots, and each instance
immediately sees only its own requests. The load that the upstream reported with
an earlier response covers the other instances' requests for a while. Without
the report, two instances fill the same upstream; without the instance's own
count, a burst between two reports goes to a single upstream.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

import msgspec

from guavagate.ports.upstreams import Upstream

# A report describes the load at the time of a response. When it is older than
# this, a third of the usual gap between two responses, it misleads more than it
# helps.
REPORT_MAX_AGE_SECONDS: Final = 0.5
# Costs are added to the used fraction of an upstream's slots. Queueing may take
# longer than the round trip to another zone, so a free slot in another zone
# beats a queue of one in this zone, but not an equally free upstream.
REMOTE_ZONE_COST: Final = 0.2
# Cost of each consecutive failed request.
FAILURE_COST: Final = 1.0
# A new connection costs a round trip before the request, work on both sides,
# and one of the few connections that an upstream accepts from all instances
# together. With ninety instances and four upstreams, each instance would open a
# connection to every upstream for occasional requests. Two requests in flight
# on six slots outweigh the cost, so a burst still spreads. It exceeds
# `REMOTE_ZONE_COST`, because the round trip to another zone is no longer than
# the connection setup that it saves.
NEW_CONNECTION_COST: Final = 0.3


IsConnected: TypeAlias = Callable[[str], bool]


def has_no_connection(address: str) -> bool:
    """Report every address as not connected."""
    return False


class Load(msgspec.Struct):
    """One instance's view of an upstream's load; times in seconds.

    `caller_slots` is the smoothed number of slots that are in use beyond this
    instance's requests, `timeouts` the number of consecutive requests that
    received nothing within the time that their callers allowed.
    """

    in_flight: int = 0
    reported_busy: int = 0
    reported_at: float = -1e9
    caller_slots: float = 0
    failures: float = 0
    timeouts: int = 0
    latency: float = 0
    ejected_until: float = 0


def choose_upstream(
    upstreams: Sequence[Upstream],
    loads: dict[str, Load],
    zone: str,
    now: float,
    rng: random.Random,
    is_connected: IsConnected = has_no_connection,
) -> Upstream | None:
    """Return the upstream for one more request, or None if there is none.

    Ejected upstreams are used only when all upstreams are ejected: a possibly
    faulty upstream is better than none.

    Parameters
    ----------
    is_connected
        Returns whether this instance has an idle connection to an address.
    """
    if not upstreams:
        return None
    usable = [
        each
        for each in upstreams
        if loads.setdefault(each.id, Load()).ejected_until <= now
    ]
    return min(
        usable or upstreams,
        key=lambda each: (
            score(each, loads[each.id], zone, now)
            + (0 if is_connected(each.address) else NEW_CONNECTION_COST),
            rng.random(),
        ),
    )


def score(upstream: Upstream, load: Load, zone: str, now: float) -> float:
    """Return the estimated cost of using an upstream; lower is better."""
    fresh = now - load.reported_at < REPORT_MAX_AGE_SECONDS
    busy = max(load.in_flight, load.reported_busy if fresh else 0)
    slots = max(upstream.slots, 1)
    zone_cost = 0 if upstream.zone == zone else REMOTE_ZONE_COST
    return busy / slots + zone_cost + load.failures * FAILURE_COST
