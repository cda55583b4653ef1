"""Reads the outcome of usage windows from the reporters' logs."""

from collections.abc import Iterable
from typing import Final

import msgspec

from guavagate.events import duties
from guavagate.explain.logs import LogLine

_CLOSED: Final = duties.USAGE_CLOSED.code
_OUTCOMES: Final = {
    duties.USAGE_REPORTED.code: 'reported',
    duties.USAGE_DELAYED.code: 'sent again',
    duties.USAGE_REFUSED.code: 'refused',
    duties.USAGE_UNKNOWN.code: 'not counted',
}


class UsageWindow(msgspec.Struct):
    """One usage window.

    `after` is the seconds from the window's end to the answer to its report;
    `holders` are the instances that closed or reported it, in time order.
    """

    window: int
    requests: int | None = None
    teams: int | None = None
    outcome: str = 'open'
    after: float | None = None
    holders: list[str] = []

    def is_late(self, due: float) -> bool:
        """Return whether it was not reported within `due` seconds."""
        reported = self.outcome == 'reported' and self.after is not None
        return not reported or (self.after or 0) > due


def read_windows(lines: Iterable[LogLine]) -> list[UsageWindow]:
    """Return the windows that the lines mention, oldest first."""
    windows: dict[int, UsageWindow] = {}
    for line in sorted(lines, key=lambda entry: entry.time):
        number = line.fields.get('window')
        relevant = line.event in _OUTCOMES or line.event == _CLOSED
        if isinstance(number, int) and relevant:
            window = windows.setdefault(number, UsageWindow(number))
            _apply(window, line)
    return [windows[number] for number in sorted(windows)]


def _apply(window: UsageWindow, line: LogLine) -> None:
    if line.source not in window.holders:
        window.holders = [*window.holders, line.source]
    if line.event == _CLOSED:
        window.requests = line.fields.get('requests')
        window.teams = line.fields.get('teams')
        return
    # A successor may report a window again; the first report counts.
    if window.outcome != 'reported':
        window.outcome = _OUTCOMES[line.event]
        window.after = line.fields.get('after')
