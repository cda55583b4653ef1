"""Each caller's and each trainer's share of the slots.

Load pattern: a caller at twenty times its share, or a trainer with a whole
step queued, takes every free slot the moment it is free.
Without it: fair queues order those who wait, but a light caller's request
still waits for a slot to end, and streams in a full batch, although its own
share of the slots is unused.

Who runs far more than the share of the active weights may not take the last
`HEADROOM` of the slots. Nobody else's work is needed to fill them: the room
is for those who come next, so it costs at most that share of the capacity,
and only while somebody else has been active lately.
"""

import collections
from typing import Final

from guavagate.decisions._work import Kind, Work
from guavagate.decisions.fairness import KIND_WEIGHTS

# An eighth of the slots: one of eight on each sampler stays for those below
# their share, and the batch stays a little below the full one.
HEADROOM: Final = 0.125
# Beyond this multiple of its share: a caller below its share on the mean runs
# twice that at times, and must not be held back as the hot one is.
OVER_SHARE: Final = 2.0
# A caller that was heard of within this many seconds counts as active.
ACTIVE_S: Final = 10.0
# Remembered callers; the least recently heard of goes first, and only its
# claim to a part of the headroom goes with it.
MAX_CALLERS: Final = 1_024

Name = tuple[Kind, str, str]


class Shares:
    """Running work and weights by caller."""

    def __init__(self) -> None:
        self._weights: float = 0
        self._heard: collections.OrderedDict[Name, tuple[float, float]] = (
            collections.OrderedDict()
        )
        self._running: dict[Name, int] = {}

    def hear(self, name: Name, work: Work, now: float) -> None:
        """Count the work's caller as active."""
        weight = weight_of(work)
        _, previous = self._heard.pop(name, (0, 0))
        self._weights += weight - previous
        self._heard[name] = (now, weight)
        self._forget(now)

    def start(self, name: Name) -> None:
        """Count work that starts."""
        self._running[name] = self._running.get(name, 0) + 1

    def stop(self, name: Name) -> None:
        """Count work that has ended."""
        count = self._running.get(name, 0) - 1
        if count > 0:
            self._running[name] = count
        else:
            self._running.pop(name, None)

    def exceeds(self, name: Name, work: Work, free: int, slots: int) -> bool:
        """Return whether the work would take headroom beyond its share."""
        if free > HEADROOM * slots or len(self._heard) < 2:
            return False
        share = weight_of(work) / max(self._weights, 1e-9)
        return self._running.get(name, 0) >= OVER_SHARE * share * slots

    def _forget(self, now: float) -> None:
        heard = self._heard
        while heard:
            name = next(iter(heard))
            at, weight = heard[name]
            if at >= now - ACTIVE_S and len(heard) <= MAX_CALLERS:
                return
            heard.pop(name)
            self._weights -= weight


def name_of(work: Work) -> Name:
    """Return who the work belongs to: its run, or its caller."""
    return (work.kind, work.team, work.run or work.caller)


def weight_of(work: Work) -> float:
    """Return the weight of the work's owner among all others."""
    return KIND_WEIGHTS[work.kind] * work.team_weight * work.weight
