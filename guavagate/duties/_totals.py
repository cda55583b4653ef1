"""What all instances have counted, by window; no network."""

from collections import defaultdict

from guavagate.ports.duties import Counts


class UsageTotals:
    """Running totals by window and by the process that counted.

    A total replaces the one before it, so a message that comes twice, or
    through two ways, adds nothing. One that comes late holds less than what is
    there and is left out.
    """

    def __init__(self) -> None:
        self._totals: defaultdict[int, dict[str, Counts]] = defaultdict(dict)

    def update(self, source: str, windows: dict[int, Counts]) -> None:
        """Take in what a process has counted."""
        for window, counts in windows.items():
            held = self._totals[window].get(source, {})
            if sum(counts.values()) >= sum(held.values()):
                self._totals[window][source] = counts

    def has_window(self, window: int) -> bool:
        """Return whether anybody told counts of a window."""
        return window in self._totals

    def sum_window(self, window: int) -> Counts:
        """Return the counts of a window by team."""
        added: Counts = {}
        for counts in self._totals.get(window, {}).values():
            for team, amount in counts.items():
                added[team] = added.get(team, 0) + amount
        return added

    def discard_before(self, window: int) -> None:
        """Forget windows that nobody will ask for."""
        for old in [each for each in self._totals if each < window]:
            self._totals.pop(old)
