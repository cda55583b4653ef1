"""Measures a sampler's event interval from one stream, without network access.

Failure pattern: the job owner reads hundreds of streams at once. While it is
busy, events queue up and are then read in a burst, so single gaps between
events are close to zero or several times too long. Among dozens of equally
fast samplers some then appear a quarter faster than others, and texts move to
them continually. Each move costs a connection, another read of the prompt, and
time that the longest texts can't spare. Averaging over several events of one
stream is enough: the gaps of a burst add up to the time the sampler took.
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


class EventIntervalMeter:
    """Measures one stream; times are seconds on the runtime's clock."""

    def __init__(self) -> None:
        self._batch_started_at: float | None = None
        self._last_event_at = float(0)
        self._events = 0

    def record_event(self, now: float) -> float | None:
        """Record an event; return the interval in seconds once it is known."""
        started_at, last_event_at = self._batch_started_at, self._last_event_at
        self._last_event_at = now
        if started_at is None or now - last_event_at >= STALL_SECONDS:
            self._start_batch(now)
            return None
        self._events += 1
        elapsed = now - started_at
        enough = (
            self._events >= MIN_BATCH_EVENTS and elapsed >= MIN_BATCH_SECONDS
        )
        if not enough and self._events < MAX_BATCH_EVENTS:
            return None
        interval = elapsed / self._events
        self._start_batch(now)
        return interval

    def _start_batch(self, now: float) -> None:
        self._batch_started_at = now
        self._events = 0
