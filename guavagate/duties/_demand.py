"""Forecasts how many upstreams steps need to be in time; uses no network.

Items start at once while there is a slot for each. With fewer slots the last
one starts when others have ended, and may be a long one. What a step can afford
to wait is what its objective leaves beside its longest text.
"""

from collections import deque
from collections.abc import Mapping
from typing import Final

from guavagate.rollouts import TextSeconds

# Peaks count for this long, which covers some steps, so that upstreams do not
# come and go when a trainer stops or is slow once.
PEAK_SECONDS: Final = 30.0
# What steps need changes with each text; a smaller change orders nothing.
MIN_NEED_CHANGE: Final = 0.15
# A step affords at least this wait, even if its longest text takes as long as
# its objective: regular upstreams cost several times as much as spot ones.
MIN_SLACK_SECONDS: Final = 1.0


class BurstDemand:
    """The largest recent bursts of a service's models."""

    def __init__(self) -> None:
        self._peaks: dict[str, deque[tuple[float, int]]] = {}
        self._needed: float | None = None

    def record(self, open_items: Mapping[str, int], now: float) -> None:
        """Record the number of unfinished items of each model."""
        for model, amount in open_items.items():
            peaks = self._peaks.setdefault(model, deque())
            while peaks and peaks[-1][1] <= amount:
                peaks.pop()
            peaks.append((now, amount))
        for recent in self._peaks.values():
            while recent and now - recent[0][0] > PEAK_SECONDS:
                recent.popleft()

    def compute_upstreams(self, slots: int) -> float:
        """Return how many upstreams the largest recent bursts would fill.

        Adds up the peaks of the models, because each has its own upstreams.
        """
        return sum(self._list_peaks().values()) / max(slots, 1)

    def compute_needed(
        self, texts: Mapping[str, TextSeconds], slots: int, objective: float
    ) -> float | None:
        """Return the upstreams without which steps are late, if known.

        A value that is about the same is kept, as each change is an order.
        """
        needed = count_needed(self._list_peaks(), texts, slots, objective)
        before = self._needed
        if (
            needed is None
            or before is None
            or abs(needed - before) > MIN_NEED_CHANGE * before
        ):
            self._needed = needed
        return self._needed

    def _list_peaks(self) -> dict[str, int]:
        return {
            model: recent[0][1]
            for model, recent in self._peaks.items()
            if recent
        }


def count_needed(
    items: Mapping[str, int],
    texts: Mapping[str, TextSeconds],
    slots: int,
    objective: float,
) -> float | None:
    """Return the upstreams without which steps are late; None if unknown.

    Parameters
    ----------
    items
        The largest recent number of open items of each model.
    slots
        The slots of an upstream.
    objective
        The seconds within which a step is due.
    """
    needed = float(0)
    for model, amount in items.items():
        if not amount:
            continue
        if model not in texts:
            return None
        text = texts[model]
        slack = max(objective - text.longest, MIN_SLACK_SECONDS)
        # The last of `amount` items starts after (amount - n) / n * mean on n
        # slots; solved for the n with which that equals the slack.
        needed += amount * text.mean / (slack + text.mean)
    return needed / max(slots, 1)
