"""Detects that a whole service is unavailable, and limits it to probes.

Failure pattern: every upstream of a service hangs: it accepts connections but
never responds. Each caller then waits for its full timeout without a result
and occupies a connection and slots, and so do the callers queued behind it.
Therefore, once requests to every upstream have timed out twice in a row, only
one request at a time goes to each upstream, and all others are rejected at
once, correctly reported as not run. The first response ends this state.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from guavagate.ports.upstreams import Upstream
from guavagate.routing._choice import Load

# A single timeout may be just a lost response.
UNAVAILABLE_AFTER_TIMEOUTS: Final = 2


def is_unavailable(loads: Iterable[Load]) -> bool:
    """Return whether there are upstreams and all of them time out."""
    timeouts = [each.timeouts for each in loads]
    return bool(timeouts) and min(timeouts) >= UNAVAILABLE_AFTER_TIMEOUTS


def list_eligible(
    serving: Sequence[Upstream], loads: dict[str, Load]
) -> list[Upstream]:
    """Return the upstreams that a request may currently go to."""
    known = {each.id: loads.setdefault(each.id, Load()) for each in serving}
    if not is_unavailable(known.values()):
        return list(serving)
    return [each for each in serving if not known[each.id].in_flight]
