"""Measures a sampler's event interval from one stream, without network access.

Failure pattern: the job owner reads hundreds of streams at once. While it is
busy, events queue up and are then read in a burst, so single gaps between
events are close to zero or several times too long. Among dozens of equally
fast samplers some then appear a quarter faster than others, and texts move to
them continually. Each move costs a connection, another read of the prompt, and
time that the longest texts can't spare. Averaging over several events of one
stream helps, as the gaps of a burst add up to the time the sampler took. But a
move of a long text must not wait for many averages, and the ends of a batch may
be late themselves. A late read only adds to a time. So the interval is taken
between the two least late events: one of the batch's first half and one of its
second.
"""

from typing import Final

# A burst in one stream is rarely longer.
MAX_BATCH_EVENTS: Final = 8
# A sampler that slows down is detected after this time, with few events.
MIN_BATCH_SECONDS: Final = 0.4
MIN_BATCH_EVENTS: Final = 2
# A longer gap between two events is a weight load or a preemption, and says
# nothing about the sampler's event interval.
STALL_SECONDS: Final = 0.4
# How late an event is depends on the interval; a second round is enough.
FIT_ROUNDS: Final = 2


class EventIntervalMeter:
    """Measures one stream; times are seconds on the runtime's clock."""

    def __init__(self) -> None:
        self._times: list[float] = []

    def record_event(self, now: float) -> float | None:
        """Record an event; return the interval in seconds once it is known."""
        times = self._times
        if not times or now - times[-1] >= STALL_SECONDS:
            self._times = [now]
            return None
        times.append(now)
        events = len(times) - 1
        enough = (
            events >= MIN_BATCH_EVENTS and now - times[0] >= MIN_BATCH_SECONDS
        )
        if not enough and events < MAX_BATCH_EVENTS:
            return None
        self._times = [now]
        return _fit_interval(times)


def _fit_interval(times: list[float]) -> float | None:
    """Return the interval between the least late events of both halves.

    None if all events were read at the same moment.
    """
    last = len(times) - 1
    half = len(times) // 2
    interval = (times[last] - times[0]) / last
    for _ in range(FIT_ROUNDS):
        lateness = [at - interval * number for number, at in enumerate(times)]
        first = min(range(half), key=lateness.__getitem__)
        second = min(range(last + 1 - half, last + 1), key=lateness.__getitem__)
        interval = (times[second] - times[first]) / (second - first)
    return interval or None
