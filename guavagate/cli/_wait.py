"""Waits until settings are in force everywhere."""

from typing import Final

from guavagate.cli._client import Client
from guavagate.cli._errors import ExitCode, ToolError
from guavagate.clock import SystemClock
from guavagate.models import Revision, TeamId
from guavagate.operators import StatusBody

_PAUSE: Final = 0.5
_CLOCK: Final = SystemClock()


def wait_everywhere(
    client: Client, team: TeamId, revision: Revision | None, limit: float
) -> None:
    """Return once every instance has a revision, or one and the same.

    Raises
    ------
    ToolError
        Not within the limit; it names who lags and why.
    """
    until = _CLOCK.now() + limit
    while True:
        body = client.get(f'/settings/{team}/status', StatusBody)
        if body.everywhere and body.newest >= (revision or 0):
            return
        if _CLOCK.now() >= until:
            raise ToolError(_describe_lag(body, limit), ExitCode.LAGGING)
        _CLOCK.sleep(_PAUSE)


def _describe_lag(body: StatusBody, limit: float) -> str:
    lines = [
        f'{one.instance}: {one.lag}'
        for one in body.instances
        if one.alive and one.revision != body.newest
    ]
    told = '\n'.join(lines)
    return f'not in force everywhere after {limit:g} s\n{told}'
