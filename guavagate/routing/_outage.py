"""Detects that a whole service is unavailable, and limits it to single trials.

Failure pattern: every upstream of a service hangs: it accepts connections but
never responds. Each caller then waits for its full timeout without a result
and occupies a connection and slots, and so do the callers queued behind it.

An upstream is unresponsive once two requests in a row have timed out there, or
once a probe of its health path got no answer or its address refused the
connection. While all upstreams of a service are, single requests try them and
all others are rejected at once, correctly reported as not run. The first
response ends this state.

An upstream may answer probes and not requests, so that an answered probe does
not make up for requests that timed out.
"""

import random
from collections.abc import Collection, Sequence
from typing import Final

from guavagate.ports.upstreams import Upstream
from guavagate.routing._choice import Load, is_failing_probes

# A single timeout may be just a lost response.
UNAVAILABLE_AFTER_TIMEOUTS: Final = 2
# How often a request tries an upstream that answers no probe, in case that only
# its health path is broken. Each such request is probably held in vain.
TRIAL_SECONDS: Final = 10.0
# An outage lasts about as long again as it has lasted, within these bounds. A
# caller that returns much later than the service is served late for nothing.
RETRY_BOUNDS: Final = (0.4, 4.0)
# Spreads the return of callers that were refused at the same moment.
RETRY_SPREAD: Final = (0.5, 1.5)


def is_unresponsive(load: Load, now: float) -> bool:
    """Return whether an upstream neither answers requests nor probes."""
    timed_out = load.timeouts >= UNAVAILABLE_AFTER_TIMEOUTS
    return timed_out or is_failing_probes(load, now)


def is_unavailable(loads: Collection[Load], now: float) -> bool:
    """Return whether there are upstreams and all of them are unresponsive."""
    return bool(loads) and all(is_unresponsive(each, now) for each in loads)


def are_all_failing(loads: Collection[Load], now: float) -> bool:
    """Return whether there are upstreams and no probe of one is answered."""
    return bool(loads) and all(is_failing_probes(each, now) for each in loads)


def list_eligible(
    serving: Sequence[Upstream], loads: dict[str, Load], now: float
) -> list[Upstream]:
    """Return the upstreams that a request may currently go to."""
    known = {each.id: loads.setdefault(each.id, Load()) for each in serving}
    if not is_unavailable(known.values(), now):
        return list(serving)
    return [each for each in serving if _may_be_tried(known[each.id], now)]


def _may_be_tried(load: Load, now: float) -> bool:
    if load.in_flight:
        return False
    if load.refusing or not is_failing_probes(load, now):
        return True
    return now - max(load.failing_since, load.trial_at) >= TRIAL_SECONDS


def compute_retry_after(lasted: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should return.

    Parameters
    ----------
    lasted
        Seconds for which the service has been unavailable.
    """
    low, high = RETRY_BOUNDS
    expected = min(max(lasted, low), high)
    return round(expected * rng.uniform(*RETRY_SPREAD), 2)
