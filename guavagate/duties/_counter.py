"""Counts requests by window of cluster time and by team; no network."""

from collections import defaultdict
from typing import Final

from guavagate.models import InstanceId, TeamId
from guavagate.ports.duties import TeamCounts

# An older window was reported already, or can no longer be reported.
MAX_WINDOWS: Final = 8


class UsageCounter:
    """The counts of this process, and what each peer has confirmed.

    Parameters
    ----------
    length
        The length of a window in seconds; window k begins k lengths after 1970.
    """

    def __init__(self, length: float) -> None:
        self.length = length
        self._windows: dict[int, TeamCounts] = {}
        self._confirmed: defaultdict[InstanceId, dict[int, int]] = defaultdict(
            dict
        )

    def record(self, team: TeamId, at: float) -> None:
        """Count a request of a team that began at a given cluster time."""
        counts = self._windows.setdefault(int(at // self.length), {})
        counts[team] = counts.get(team, 0) + 1
        while len(self._windows) > MAX_WINDOWS:
            self._windows.pop(min(self._windows))

    def list_unconfirmed(self, peer: InstanceId) -> dict[int, TeamCounts]:
        """Return the windows that a peer has not fully confirmed.

        Contains the complete current totals, so a repeated window adds nothing.
        """
        confirmed = self._confirmed[peer]
        return {
            window: dict(counts)
            for window, counts in self._windows.items()
            if confirmed.get(window) != sum(counts.values())
        }

    def confirm(self, peer: InstanceId, windows: dict[int, TeamCounts]) -> None:
        """Record that a peer has confirmed the totals sent to it."""
        for window, counts in windows.items():
            self._confirmed[peer][window] = sum(counts.values())

    def retain(self, peers: set[InstanceId]) -> None:
        """Discard the confirmations of all other peers.

        A peer that returns gets all windows again.
        """
        for peer in self._confirmed.keys() - peers:
            self._confirmed.pop(peer)
