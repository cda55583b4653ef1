"""When refused callers shall return, in the order in which they can be served.

Load pattern: a service is offered twice what it can do. Callers that are all
asked to return after the same time arrive as one burst, and most of them are
refused again. Each is given a time of its own here: those of a higher priority
first, and of one priority each team's at the rate of its fair share, so that
the callers of a large team do not delay those of small ones.
"""

import heapq
import random
from typing import Final

from guavagate.models import TeamId

# Shortest and longest time after which a caller is asked to return. Later than
# that the load is another, and callers give up.
RETURN_RANGE_SECONDS: Final = (0.1, 5.0)
# Teams whose next return is remembered, by priority; the oldest goes first.
MAX_TEAMS: Final = 1_024

_Key = tuple[int, TeamId]


class ReturnSchedule:
    """The times at which callers were asked to return."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._last_by_team: dict[_Key, float] = {}
        self._times_by_priority: dict[int, list[float]] = {}

    def assign(
        self,
        priority: int,
        team: TeamId,
        now: float,
        wait: float,
        interval: float,
    ) -> float:
        """Return the seconds until a refused caller shall return.

        Parameters
        ----------
        wait
            Seconds until the queue should have room for the request.
        interval
            Seconds between two free slots of the service.
        """
        low, high = RETURN_RANGE_SECONDS
        before = self._count_before(priority, now)
        step = interval * self._count_teams(priority, now)
        earliest = now + max(wait, low) + before * interval
        key = (priority, team)
        due = max(earliest, self._last_by_team.pop(key, 0) + step)
        # Teams would otherwise return at the same moments.
        due = min(due + self._random.uniform(0, step), now + high)
        self._last_by_team[key] = due
        if len(self._last_by_team) > MAX_TEAMS:
            self._last_by_team.pop(next(iter(self._last_by_team)))
        heapq.heappush(self._times_by_priority.setdefault(priority, []), due)
        return due - now

    def _count_teams(self, priority: int, now: float) -> int:
        """Return how many teams of a priority have yet to return."""
        count = sum(
            due > now and level == priority
            for (level, _), due in self._last_by_team.items()
        )
        return max(count, 1)

    def _count_before(self, priority: int, now: float) -> int:
        """Return how many callers of higher priorities have yet to return."""
        count = 0
        for level, times in self._times_by_priority.items():
            while times and times[0] <= now:
                heapq.heappop(times)
            count += len(times) if level < priority else 0
        return count
