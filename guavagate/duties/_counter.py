"""Requests that began, by window of true time and team; no network."""

from collections import defaultdict
from typing import Final

from guavagate.models import InstanceId, TeamId
from guavagate.ports.duties import Counts

# In windows. Beyond that a window was reported, or nobody can any more.
KEPT: Final = 8


class UsageCounter:
    """What this process has counted.

    Parameters
    ----------
    length
        Of a window, in seconds; window k begins k times that after 1970.
    """

    def __init__(self, length: float) -> None:
        self.length = length
        self._windows: dict[int, Counts] = {}
        self._told: defaultdict[InstanceId, dict[int, int]] = defaultdict(dict)

    def record(self, team: TeamId, at: float) -> None:
        """Count a request of a team that began at a moment of true time."""
        counts = self._windows.setdefault(int(at // self.length), {})
        counts[team] = counts.get(team, 0) + 1
        while len(self._windows) > KEPT:
            self._windows.pop(min(self._windows))

    def list_unconfirmed(self, peer: InstanceId) -> dict[int, Counts]:
        """Return the windows of which a peer has not taken all.

        Whole windows as they are now: a repeat adds nothing.
        """
        told = self._told[peer]
        return {
            window: dict(counts)
            for window, counts in self._windows.items()
            if told.get(window) != sum(counts.values())
        }

    def confirm(self, peer: InstanceId, news: dict[int, Counts]) -> None:
        """Take in that a peer has what it was told."""
        for window, counts in news.items():
            self._told[peer][window] = sum(counts.values())

    def retain(self, peers: set[InstanceId]) -> None:
        """Tell all again to those who are not among these, if they return."""
        for peer in self._told.keys() - peers:
            self._told.pop(peer)
