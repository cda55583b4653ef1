"""A wall clock that most instances agree on; uses no network.

Failure pattern: the wall clock jumps by seconds on a third of the machines,
including the one that reports usage. By its own clock, that instance would
close windows too early, and requests would be counted in the wrong windows.
Therefore each instance sends its wall clock time along with its counts. The
median is correct while most of the clocks are, and between two messages the
boot clock, which never jumps, advances it.
"""

import statistics
from collections.abc import Callable

from guavagate.models import InstanceId


class ClusterClock:
    """Seconds since 1970, as the median of the known wall clocks.

    Parameters
    ----------
    wall, boot
        This machine's wall clock and boot clock.
    """

    def __init__(
        self, wall: Callable[[], float], boot: Callable[[], float]
    ) -> None:
        self._wall = wall
        self._boot = boot
        self._others: dict[InstanceId, float] = {}
        self._reporter_offset: float | None = None

    def now(self) -> float:
        """Return the cluster time."""
        return self._boot() + self._find_offset()

    def record(self, instance: InstanceId, wall: float) -> None:
        """Record the current wall clock time of another instance."""
        self._others[instance] = wall - self._boot()

    def retain(self, alive: set[InstanceId]) -> None:
        """Discard the clocks of instances that are not alive."""
        for instance in self._others.keys() - alive:
            self._others.pop(instance)

    def follow(self, now: float) -> None:
        """Use the time that the reporter, which knows all clocks, has sent."""
        self._reporter_offset = now - self._boot()

    def stop_following(self) -> None:
        """Use the median of the clocks known here, not the reporter's time."""
        self._reporter_offset = None

    def _find_offset(self) -> float:
        if self._reporter_offset is not None:
            return self._reporter_offset
        own = self._wall() - self._boot()
        return statistics.median([own, *self._others.values()])
