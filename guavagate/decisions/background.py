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

# One more than what callers are seen to use: the next one comes unannounced.
SPARE_PLACES: Final = 1
# A peak is forgotten by this share with each report. Reports come with each
# answer, some tens a second, so a burst of callers is kept room for about a
# second after it was last seen.
FORGET_SHARE: Final = 0.05


def follow_callers(before: float, busy: int, background: int) -> float:
    """Return how many places callers seem to use at an upstream.

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
    return max(float(seen), before * (1 - FORGET_SHARE))


def limit_background(slots: int, callers: float) -> int:
    """Return how many background requests an upstream may have at once.

    Never none: else callers that keep an upstream full would stop a step for
    good, and one place of several is what they lose at most.
    """
    reserved = math.ceil(callers) + SPARE_PLACES
    return max(slots - reserved, 1)
