"""Selects the least loaded upstream, preferring the same zone.

Load pattern: a few instances share an upstream's slots, and each instance
immediately sees only its own requests. The load that the upstream reported with
an earlier response covers the other instances' requests for a while. Without
the report, two instances fill the same upstream; without the instance's own
count, a burst between two reports goes to a single upstream.

Services on shared machines also report a slowdown, which changes within a
second. The expected time of short work is slowdown x (1 + queue). Instances
that received the same reports would all take the fastest upstream, so each
takes the better of two random ones among those that are about equal.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

import msgspec

from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing._tiers import REMOTE_ZONE_COST

# A report describes the load at the time of a response. When it is older than
# this, a third of the usual gap between two responses, it misleads more than it
# helps.
REPORT_MAX_AGE_SECONDS: Final = 0.5
# Cost of each consecutive failed request.
FAILURE_COST: Final = 1.0
# How long an unanswered probe counts. The next one of a service that is
# unresponsive ends within four seconds.
FAILED_PROBE_SECONDS: Final = 6.0
# A new connection costs a round trip before the request, work on both sides,
# and one of the few connections that an upstream accepts from all instances
# together. With ninety instances and four upstreams, each instance would open a
# connection to every upstream for occasional requests. Two requests in flight
# on six slots outweigh the cost, so a burst still spreads. It exceeds
# `REMOTE_ZONE_COST`, because the round trip to another zone is no longer than
# the connection setup that it saves.
NEW_CONNECTION_COST: Final = 0.3
# Cost of one usual time of work. With it, an upstream that is 2.5 times as slow
# costs 0.225: more than the way to another zone, less than a new connection,
# which is worth more than the 47 ms that it would gain.
SLOWDOWN_COST: Final = 0.15
# A slowdown changes about every 0.6 s; its weight decays to zero over this age.
SLOWDOWN_MAX_AGE_SECONDS: Final = 0.5
# Reports may be false: a lower one would attract all requests, and a higher one
# would outweigh failures.
SLOWDOWN_BOUNDS: Final = (0.5, 4.0)
# Upstreams whose costs differ by less are about equal; less than one request in
# flight on six slots.
ABOUT_EQUAL_COST: Final = 0.1


IsConnected: TypeAlias = Callable[[str], bool]
GetZoneCost: TypeAlias = Callable[[ZoneId], float]


def has_no_connection(address: str) -> bool:
    """Report every address as not connected."""
    return False


class Load(msgspec.Struct):
    """One instance's view of an upstream's load; times in seconds.

    `caller_slots` is the smoothed number of slots that are in use beyond this
    instance's requests, `timeouts` the number of consecutive requests that
    received nothing within the time that their callers allowed. `report` is the
    newest one, received at `report_at`; `reported_busy` may be older. `answers`
    counts requests that were answered.

    `answered_at` is when an answer last began to arrive, `probe_failed_at` when
    a probe last got none, `failing_since` when the first of these did, and
    `refusing` whether the address then refused a connection. `trial_at` is when
    a request last tried the upstream while it failed probes.
    """

    in_flight: int = 0
    report: LoadReport = LoadReport()
    report_at: float = -1e9
    reported_busy: int = 0
    reported_at: float = -1e9
    caller_slots: float = 0
    failures: float = 0
    timeouts: int = 0
    latency: float = 0
    answers: int = 0
    ejected_until: float = 0
    answered_at: float = -1e9
    probe_failed_at: float = -1e9
    failing_since: float = -1e9
    refusing: bool = False
    trial_at: float = -1e9

    def count_busy(self, now: float) -> int:
        """Return how many requests are at the upstream, as far as known."""
        fresh = now - self.reported_at < REPORT_MAX_AGE_SECONDS
        return max(self.in_flight, self.reported_busy if fresh else 0)


def choose_upstream(
    upstreams: Sequence[Upstream],
    loads: dict[str, Load],
    zone: str,
    now: float,
    rng: random.Random,
    is_connected: IsConnected = has_no_connection,
    *,
    lasting: bool = False,
    preferred: UpstreamId | None = None,
    get_zone_cost: GetZoneCost | None = None,
) -> Upstream | None:
    """Return the upstream for one more request, or None if there is none.

    Ejected upstreams are used only when all upstreams are ejected: a possibly
    faulty upstream is better than none.

    Parameters
    ----------
    is_connected
        Returns whether this instance has an idle connection to an address.
    lasting
        Whether the work lasts longer than a reported slowdown.
    preferred
        The upstream that the service's queue owner has granted, if any. The
        owner knows the requests of all instances, this one only its own.
    get_zone_cost
        Returns the cost of the way to a zone; by default, all other zones are
        equally far away.
    """
    if not upstreams:
        return None
    usable = [
        each
        for each in upstreams
        if loads.setdefault(each.id, Load()).ejected_until <= now
    ]
    granted = [each for each in usable if each.id == preferred]
    if granted:
        return granted[0]
    ranked = [
        _Rank(
            score(each, loads[each.id], now)
            + _find_zone_cost(each, zone, get_zone_cost)
            + (0 if is_connected(each.address) else NEW_CONNECTION_COST),
            0 if lasting else score_slowdown(each, loads[each.id], now),
            rng.random(),
            each,
        )
        for each in usable or upstreams
    ]
    best = min(ranked, key=_Rank.get_key)
    if not any(each.delay for each in ranked):
        return best.upstream
    equal = [each for each in ranked if each.is_about_equal(best)]
    pair = rng.sample(equal, min(len(equal), 2))
    return min(pair, key=_Rank.get_key).upstream


class _Rank(msgspec.Struct, frozen=True):
    """An upstream's cost without its slowdown, and the slowdown's cost."""

    cost: float
    delay: float
    tie_break: float
    upstream: Upstream

    def get_key(self) -> tuple[float, float]:
        """Return what upstreams are sorted by."""
        return self.cost + self.delay, self.tie_break

    def is_about_equal(self, best: '_Rank') -> bool:
        """Return whether only the slowdown is a little worse than the best's.

        Neither a queue nor a new connection is worth being spread.
        """
        difference = self.cost + self.delay - best.cost - best.delay
        return self.cost <= best.cost and difference <= ABOUT_EQUAL_COST


def _find_zone_cost(
    upstream: Upstream, zone: str, get_zone_cost: GetZoneCost | None
) -> float:
    if get_zone_cost is not None:
        return get_zone_cost(upstream.zone)
    return 0 if upstream.zone == zone else REMOTE_ZONE_COST


def score(upstream: Upstream, load: Load, now: float) -> float:
    """Return the cost of an upstream's load and faults; lower is better."""
    busy = load.count_busy(now)
    slots = max(upstream.slots, 1)
    failures = load.failures + is_failing_probes(load, now)
    return busy / slots + failures * FAILURE_COST


def is_failing_probes(load: Load, now: float) -> bool:
    """Return whether a probe got no answer, and nothing arrived since then."""
    fresh = now - load.probe_failed_at < FAILED_PROBE_SECONDS
    return fresh and load.probe_failed_at > load.answered_at


def score_slowdown(upstream: Upstream, load: Load, now: float) -> float:
    """Return the cost of a reported slowdown; 0 without a fresh one."""
    weight = 1 - (now - load.report_at) / SLOWDOWN_MAX_AGE_SECONDS
    if load.report.slowdown is None or weight <= 0:
        return 0
    low, high = SLOWDOWN_BOUNDS
    slowdown = min(max(load.report.slowdown, low), high)
    slots = max(upstream.slots, 1)
    queue = max(load.count_busy(now) + 1 - slots, 0) / slots
    return (slowdown - 1) * weight * (1 + queue) * SLOWDOWN_COST
