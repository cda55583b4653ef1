"""When what is held was surely the store's newest; no network.

Failure pattern: an instance is suspended, or cut off and back, and then reads
what a relay told it before: news that was new when it was sent. An age that is
told says nothing of how long it was on the way. So a relay tells its proof as a
moment of its own boot clock, which goes on while it is suspended and is never
set, and each instance turns that into its own boot clock. For that it asks a
relay for its clock and takes the answer to be as old as the question: the
proof then seems older than it is by a round trip at most, and never newer.
"""

import math
from collections.abc import Callable


class Proof:
    """The newest moment at which all was held that the store had then.

    Attributes
    ----------
    at
        That moment by this instance's boot clock; nothing before the first.
    """

    def __init__(self, boot_clock: Callable[[], float]) -> None:
        self._now = boot_clock
        self._offsets: dict[int, float] = {}
        self._void = False
        self.at: float | None = None

    def age(self) -> float:
        """Return how old the proof is, in seconds; infinite without one."""
        if self.at is None or self._void:
            return math.inf
        return max(self._now() - self.at, 0)

    def invalidate(self) -> None:
        """Take what is held for old, however new the news is.

        A newest configuration that can not be read here leaves an older one
        in force.
        """
        self._void = True

    def restore(self) -> None:
        """Take what is held for as new as the news is."""
        self._void = False

    def record_own(self, at: float) -> None:
        """Take in what this instance has found out by itself."""
        if self.at is None or at > self.at:
            self.at = at

    def compare(self, boot: int, asked_at: float, clock: float | None) -> None:
        """Take in what a relay's clock showed after it was asked for.

        Parameters
        ----------
        boot
            The relay's start; another one has another clock.
        asked_at
            When it was asked, by this instance's clock.
        """
        if clock is not None:
            self._offsets[boot] = asked_at - clock

    def record_relayed(
        self, boot: int, proved_at: float | None, clock: float | None
    ) -> None:
        """Take in a relay's proof, where all that it holds is held here.

        What the relay sent at `clock` by its own clock is here by now, so the
        difference of the clocks is no larger than it seems by that.
        """
        offset = self._offsets.get(boot)
        if offset is None or proved_at is None or clock is None:
            return
        offset = min(offset, self._now() - clock)
        self._offsets[boot] = offset
        self.record_own(proved_at + offset)
