"""What became of each usage window, out of the reporters' log lines."""

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
    """One window; `after` is seconds from its end to the report's answer.

    `holders` are the instances that fixed or reported it, in order of time.
    """

    window: int
    requests: int | None = None
    teams: int | None = None
    outcome: str = 'open'
    after: float | None = None
    holders: list[str] = []

    def is_late(self, due: float) -> bool:
        """Return whether it came later than so many seconds, or not at all."""
        reported = self.outcome == 'reported' and self.after is not None
        return not reported or (self.after or 0) > due


def read_windows(lines: Iterable[LogLine]) -> list[UsageWindow]:
    """Return the windows that lines tell of, the oldest first."""
    windows: dict[int, UsageWindow] = {}
    for line in sorted(lines, key=lambda each: each.time):
        number = line.fields.get('window')
        known = line.event in _OUTCOMES or line.event == _CLOSED
        if isinstance(number, int) and known:
            window = windows.setdefault(number, UsageWindow(number))
            _take(window, line)
    return [windows[number] for number in sorted(windows)]


def _take(window: UsageWindow, line: LogLine) -> None:
    if line.source not in window.holders:
        window.holders = [*window.holders, line.source]
    if line.event == _CLOSED:
        window.requests = line.fields.get('requests')
        window.teams = line.fields.get('teams')
        return
    # A successor sends again what was reported; the first time counts.
    if window.outcome != 'reported':
        window.outcome = _OUTCOMES[line.event]
        window.after = line.fields.get('after')
