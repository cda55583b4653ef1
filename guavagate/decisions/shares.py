"""Each caller's and each trainer's share of the slots.

Load pattern: a caller at twenty times its share, or a trainer with a whole step
queued, takes every slot as soon as it is free.

Without headroom: fair queues order only the waiting work. A light caller's
request still waits for a slot, and then streams in a full batch, although its
own share of the slots is unused.

A requester that runs far more than its share of the active weights may not take
the last `HEADROOM` of the slots. Those slots stay free for the next request of
another requester. This costs at most that share of the capacity, and only while
another requester has been active recently.
"""

import collections
from typing import Final

from guavagate.decisions._work import Work, WorkKind
from guavagate.decisions.fairness import KIND_WEIGHTS

# An eighth of the slots: of eight slots on a sampler, one stays free for
# requesters below their share, and the batch stays slightly below full.
HEADROOM: Final = 0.125
# A requester that is below its share on average runs twice its share at times
# and must not be limited like one that exceeds it permanently.
OVER_SHARE: Final = 2.0
# A requester counts as active for this many seconds after its last arrival.
ACTIVE_S: Final = 10.0
# Remembered requesters. The least recently active one is removed first and only
# loses its claim to a part of the headroom.
MAX_REQUESTERS: Final = 1_024

Requester = tuple[WorkKind, str, str]


class Shares:
    """Running work and weights by requester."""

    def __init__(self) -> None:
        self._weights: float = 0
        self._last_arrivals: collections.OrderedDict[
            Requester, tuple[float, float]
        ] = collections.OrderedDict()
        self._running: dict[Requester, int] = {}

    def record_arrival(
        self, requester: Requester, work: Work, now: float
    ) -> None:
        """Mark the work's requester as active."""
        weight = get_weight(work)
        _, previous = self._last_arrivals.pop(requester, (0, 0))
        self._weights += weight - previous
        self._last_arrivals[requester] = (now, weight)
        self._discard_inactive(now)

    def start(self, requester: Requester) -> None:
        """Count a run that starts."""
        self._running[requester] = self._running.get(requester, 0) + 1

    def stop(self, requester: Requester) -> None:
        """Count a run that has ended."""
        count = self._running.get(requester, 0) - 1
        if count > 0:
            self._running[requester] = count
        else:
            self._running.pop(requester, None)

    def exceeds_share(
        self, requester: Requester, work: Work, free: int, slots: int
    ) -> bool:
        """Return whether the work would take headroom beyond its share."""
        if free > HEADROOM * slots or len(self._last_arrivals) < 2:
            return False
        share = get_weight(work) / max(self._weights, 1e-9)
        return self._running.get(requester, 0) >= OVER_SHARE * share * slots

    def _discard_inactive(self, now: float) -> None:
        arrivals = self._last_arrivals
        while arrivals:
            requester = next(iter(arrivals))
            at, weight = arrivals[requester]
            if at >= now - ACTIVE_S and len(arrivals) <= MAX_REQUESTERS:
                return
            arrivals.pop(requester)
            self._weights -= weight


def get_requester(work: Work) -> Requester:
    """Return the requester of the work: its run or its caller."""
    return (work.kind, work.team, work.run or work.caller)


def get_weight(work: Work) -> float:
    """Return the requester's weight among all others."""
    return KIND_WEIGHTS[work.kind] * work.team_weight * work.weight
