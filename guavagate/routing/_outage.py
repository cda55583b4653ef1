"""When a whole service is dark, and who still asks it; needs no network.

Failure pattern: every upstream of a service hangs: connections are made and
nothing ever comes. Each caller is held until its time is over, learns nothing,
and holds a connection and places meanwhile; the callers behind it as well. So
once every upstream has been silent twice for as long as callers allow, each is
asked by one request at a time, and all others are refused at once, truthfully
not run. The first answer ends it.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from guavagate.ports.upstreams import Upstream
from guavagate.routing._choice import Load

# A single silence is an answer that was lost.
UNAVAILABLE_AFTER_TIMEOUTS: Final = 2


def is_unavailable(loads: Iterable[Load]) -> bool:
    """Return whether there are upstreams and all of them are silent."""
    silences = [each.timeouts for each in loads]
    return bool(silences) and min(silences) >= UNAVAILABLE_AFTER_TIMEOUTS


def list_eligible(
    serving: Sequence[Upstream], loads: dict[str, Load]
) -> list[Upstream]:
    """Return the upstreams that a request may go to now."""
    held = {each.id: loads.setdefault(each.id, Load()) for each in serving}
    if not is_unavailable(held.values()):
        return list(serving)
    return [each for each in serving if not held[each.id].in_flight]
