"""Which upstream gets a request: the least loaded, the near one if equal.

Load pattern: a few instances share an upstream's slots and each sees only its
own requests at once; the upstream's own report, which came with an earlier
answer, covers the others for a while. Without it two instances fill the same
upstream; without the own count a burst between two reports goes to one.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

import msgspec

from guavagate.ports.upstreams import Upstream

# A report says what was true at an answer; it is a third of a usual gap
# between two answers old before it misleads more than it tells.
REPORT_SECONDS: Final = 0.5
# Work may wait longer than the way to another zone takes: a slot that is
# free elsewhere beats a queue of one here, but not an equally free one.
FAR_COST: Final = 0.2
# An upstream whose last requests failed counts as this much fuller for each.
FAILURE_COST: Final = 1.0
# A new connection takes a round trip before the request, work on both sides,
# and one of the few that an upstream accepts from all instances together. With
# ninety instances before four upstreams, each instance would open one to each
# of them for a request now and then. Two requests in progress on six slots
# outweigh it, so a burst still spreads; it is more than `FAR_COST`, as the
# round trip to another zone is no more than the one that it saves.
CONNECT_COST: Final = 0.3


IsConnected: TypeAlias = Callable[[str], bool]


def has_no_connection(address: str) -> bool:
    """Take no connection for kept."""
    return False


class Load(msgspec.Struct):
    """What one instance knows of an upstream's load; times in seconds.

    `callers` is how many places others' requests were last seen to take,
    `silences` how many requests in a row got nothing in all the time that
    their callers allowed.
    """

    in_flight: int = 0
    reported_busy: int = 0
    reported_at: float = -1e9
    foreground_slots: float = 0
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
    """Return the upstream for one more request, or nothing to choose from.

    Ejected ones are taken only when all others are ejected too: one that may
    be bad is better than none.

    Parameters
    ----------
    is_connected
        Whether an idle connection to an address is kept here.
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
            + (0 if is_connected(each.address) else CONNECT_COST),
            rng.random(),
        ),
    )


def score(upstream: Upstream, load: Load, zone: str, now: float) -> float:
    """Return how full an upstream seems; lower is better."""
    fresh = now - load.reported_at < REPORT_SECONDS
    busy = max(load.in_flight, load.reported_busy if fresh else 0)
    slots = max(upstream.slots, 1)
    far = 0 if upstream.zone == zone else FAR_COST
    return busy / slots + far + load.failures * FAILURE_COST
