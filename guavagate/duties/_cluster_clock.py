"""The time of day that most machines agree on; no network.

Failure pattern: the time of day jumps by seconds on a third of the machines,
the one that reports usage among them. By its own clock it would close windows
too early, and requests would be counted in the wrong ones. Each instance that
tells its counts also tells its time of day. Their median is right while most
of them are, and between two of them the boot clock goes on, which never jumps.
"""

import statistics
from collections.abc import Callable

from guavagate.models import InstanceId


class ClusterClock:
    """Seconds since 1970, by the clocks of all who tell theirs.

    Parameters
    ----------
    wall, boot
        This machine's time of day and its boot clock.
    """

    def __init__(
        self, wall: Callable[[], float], boot: Callable[[], float]
    ) -> None:
        self._wall = wall
        self._boot = boot
        self._others: dict[InstanceId, float] = {}
        self._told: float | None = None

    def now(self) -> float:
        """Return the time of day."""
        return self._boot() + self._find_offset()

    def record(self, instance: InstanceId, wall: float) -> None:
        """Take in what another machine's clock shows just now."""
        self._others[instance] = wall - self._boot()

    def retain(self, alive: set[InstanceId]) -> None:
        """Forget the clocks of those that are gone."""
        for instance in self._others.keys() - alive:
            self._others.pop(instance)

    def follow(self, now: float) -> None:
        """Go by what the instance that hears all of them has told."""
        self._told = now - self._boot()

    def stop_following(self) -> None:
        """Go by the clocks heard of here, not by what another one told."""
        self._told = None

    def _find_offset(self) -> float:
        if self._told is not None:
            return self._told
        mine = self._wall() - self._boot()
        return statistics.median([mine, *self._others.values()])
