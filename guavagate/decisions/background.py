"""How much background work an upstream may have beside its callers'.

Load pattern: the texts of a step end together, and the rewards of a hundred of
them are asked for at once, 200 ms of work each, from the few upstreams that
also answer interactive callers within 40 ms. Upstreams admit in order of
arrival, so all that is sent early stands before the next caller. Without a
bound a wave of 96 on three upstreams of six slots keeps callers waiting for
about a second; with it the callers find a free place at each upstream, and the
wave takes a sixth longer.

What callers need is not known beforehand: it is what upstreams report beyond
the background work that they have from here.
"""

import math
from typing import Final

# A free place is what the next caller finds. One is enough while callers use
# less than that: should two come at once, the second waits for the first of
# several requests to end, a few tens of milliseconds.
SPARE_SLOTS: Final = 1
# Reports come with each answer, some tens a second, so what is followed is the
# mean of about the last second. A peak that was kept for seconds would leave
# one place to a step when a single upstream is left, and rewards took three
# times as long as they had to.
SMOOTHING: Final = 0.1


def average_caller_slots(before: float, busy: int, background: int) -> float:
    """Return how many places callers use at an upstream on average.

    Parameters
    ----------
    before
        What this returned for the report before, 0 at first.
    busy
        Requests that the upstream reports, running and waiting.
    background
        Those among them that were sent from here as background work.
    """
    seen = max(busy - background, 0)
    return before + (seen - before) * SMOOTHING


def limit_background(slots: int, callers: float) -> int:
    """Return how many background requests an upstream may have at once.

    Never none: else callers that keep an upstream full would stop a step for
    good, and one place of several is what they lose at most.
    """
    reserved = max(math.ceil(callers), SPARE_SLOTS)
    return max(slots - reserved, 1)
