"""Whether a stand-in sampler is cold, and for how much longer."""

from guavagate.clock import Clock
from guavagate.platform import const
from standins.platform.topology import COLD_START_SECONDS


class Warmth:
    """A sampler is cold after each start, and again whenever it is told so."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._cold_until = float(0)

    def turn_cold(self) -> None:
        """Be cold from now on, for as long as after a start."""
        self._cold_until = self._clock.now() + COLD_START_SECONDS

    @property
    def cold(self) -> bool:
        """Return whether it is cold now."""
        return self._clock.now() < self._cold_until

    def read_remaining_ms(self) -> int:
        """Return for how many milliseconds it stays cold; 0 if it is warm."""
        left = max(self._cold_until - self._clock.now(), 0)
        return round(left * const.MILLIS)
