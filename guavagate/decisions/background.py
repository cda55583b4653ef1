"""Limits the background work that an upstream runs beside callers' requests.

Load pattern: the texts of a step end together, and the rewards of a hundred of
them are requested at once, 200 ms of work each, from the few upstreams that
also answer interactive callers within 40 ms. Upstreams admit in order of
arrival, so everything sent early runs before the next caller's request.

Without a limit, a burst of 96 on three upstreams of six slots delays callers by
about a second. With it callers find a free slot at each upstream, and the burst
takes a sixth longer.

The slots that callers need aren't known in advance: they are what upstreams
report beyond the background work sent from here.
"""

import math
from typing import Final

# Slots left free for the next caller. One is enough while callers use less than
# that: if two arrive at once, the second waits for the first of several
# requests to end, a few tens of milliseconds.
SPARE_SLOTS: Final = 1
# Weight of one report in the mean. Reports come with each answer, some tens a
# second, so the mean covers about the last second. A peak remembered for
# seconds would leave one slot to a step when a single upstream is left, and
# rewards took three times as long as necessary.
SMOOTHING: Final = 0.1


def average_caller_slots(before: float, busy: int, background: int) -> float:
    """Return the mean number of slots that callers use at an upstream.

    Parameters
    ----------
    before
        The result for the previous report, 0 at first.
    busy
        Requests that the upstream reports, running and waiting.
    background
        Those among them that were sent from here as background work.
    """
    callers = max(busy - background, 0)
    return before + (callers - before) * SMOOTHING


def limit_background(slots: int, callers: float) -> int:
    """Return how many background requests an upstream may have at once.

    The result is at least one: otherwise callers that keep an upstream full
    would stop a step forever. This costs them at most one slot.
    """
    reserved = max(math.ceil(callers), SPARE_SLOTS)
    return max(slots - reserved, 1)
