"""Tracks when the local data was last known to be the store's newest.

Failure pattern: an instance is suspended, or cut off and reconnected, and then
reads messages that a relay sent long before. An age in such a message does not
include the time that the message was on its way. Therefore a relay sends its
proof as a time of its own boot clock, which runs on while the machine is
suspended and is never set, and each instance converts that to its own boot
clock. It requests the relay's clock for that and assumes that the reply is as
old as the request. The proof then seems older than it is by at most a round
trip, and never newer. This module does no network calls.
"""

import math
from collections.abc import Callable
from typing import Self


class Proof:
    """The last time at which the local data was known to be the newest.

    Attributes
    ----------
    at
        That time by this instance's boot clock; None before the first proof.
    """

    def __init__(
        self, boot_clock: Callable[[], float], other: Self | None = None
    ) -> None:
        self._now = boot_clock
        # Shared by proofs of different data.
        self._offsets: dict[int, float] = other._offsets if other else {}
        self._invalid = False
        self.at: float | None = None

    def age(self) -> float:
        """Return how old the proof is, in seconds; infinite without one."""
        if self.at is None or self._invalid:
            return math.inf
        return max(self._now() - self.at, 0)

    def invalidate(self) -> None:
        """Treat the local data as infinitely old until `restore`.

        When the newest configuration cannot be decoded here, an older one
        stays in force.
        """
        self._invalid = True

    def restore(self) -> None:
        """Treat the local data as old as its proof again."""
        self._invalid = False

    def record_own(self, at: float) -> None:
        """Record a proof by this instance's own clock."""
        if self.at is None or at > self.at:
            self.at = at

    def record_clock(
        self, boot: int, requested_at: float, clock: float | None
    ) -> None:
        """Record a relay's clock from its reply.

        Parameters
        ----------
        boot
            Identifies the relay's start; each start has its own clock.
        requested_at
            When the clock was requested, by this instance's clock.
        """
        if clock is not None:
            self._offsets[boot] = requested_at - clock

    def record_relayed(
        self, boot: int, proved_at: float | None, clock: float | None
    ) -> None:
        """Record a relay's proof; the local data must match the relay's.

        The relay sent the message at `clock` by its own clock, and it has
        arrived by now. That bounds the difference of the clocks from above.
        """
        offset = self._offsets.get(boot)
        if offset is None or proved_at is None or clock is None:
            return
        offset = min(offset, self._now() - clock)
        self._offsets[boot] = offset
        self.record_own(proved_at + offset)
