"""Adds up the usage counts of all instances by window; no network."""

from collections import defaultdict

from guavagate.ports.duties import TeamCounts


class UsageTotals:
    """Running totals by window and counting process.

    A total replaces the previous one, so a message that arrives twice, or over
    two paths, adds nothing. A late message has a lower total than the recorded
    one and is ignored.
    """

    def __init__(self) -> None:
        self._windows: defaultdict[int, dict[str, TeamCounts]] = defaultdict(
            dict
        )

    def update(self, source: str, windows: dict[int, TeamCounts]) -> None:
        """Record the totals of a process."""
        for window, counts in windows.items():
            known = self._windows[window].get(source, {})
            if sum(counts.values()) >= sum(known.values()):
                self._windows[window][source] = counts

    def has_window(self, window: int) -> bool:
        """Return whether any process reported totals for a window."""
        return window in self._windows

    def sum_window(self, window: int) -> TeamCounts:
        """Return the counts of a window by team, over all processes."""
        sums: TeamCounts = {}
        for counts in self._windows.get(window, {}).values():
            for team, amount in counts.items():
                sums[team] = sums.get(team, 0) + amount
        return sums

    def discard_before(self, window: int) -> None:
        """Discard the windows before `window`, which are no longer needed."""
        for old in [each for each in self._windows if each < window]:
            self._windows.pop(old)
