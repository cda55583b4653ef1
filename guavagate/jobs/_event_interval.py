"""How long a sampler takes for an event, by one stream; no network.

Load pattern: the owner reads hundreds of streams at once. While it is busy
their events wait for it, and then come all in one moment: single gaps between
them are next to nothing or several times too long. Of dozens of samplers that
are equally fast some then seem to be a quarter faster than others, texts move
to them all the time, and each move costs a connection, the prompt once more,
and time that the longest texts do not have. Over several events of one stream
the gaps of a clump add up to what the sampler took.
"""

from typing import Final

# Of one stream; a clump is rarely longer.
MAX_BATCH_EVENTS: Final = 8
# A sampler that has turned slow is noticed after so long, with few events.
MIN_BATCH_SECONDS: Final = 0.4
MIN_BATCH_EVENTS: Final = 2
# A gap this long between two events is a load of weights or a preemption and
# says nothing of the sampler's pace.
STALL_SECONDS: Final = 0.4


class EventIntervalMeter:
    """Measures one stream; times on the runtime's clock, in seconds."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._last = float(0)
        self._events = 0

    def record_event(self, now: float) -> float | None:
        """Take in an event; return seconds an event once they are known."""
        since, last = self._since, self._last
        self._last = now
        if since is None or now - last >= STALL_SECONDS:
            self._begin(now)
            return None
        self._events += 1
        took = now - since
        enough = self._events >= MIN_BATCH_EVENTS and took >= MIN_BATCH_SECONDS
        if not enough and self._events < MAX_BATCH_EVENTS:
            return None
        pace = took / self._events
        self._begin(now)
        return pace

    def _begin(self, now: float) -> None:
        self._since = now
        self._events = 0
