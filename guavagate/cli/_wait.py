"""Waits until settings are in force on all instances."""

from typing import Final

from guavagate.cli._client import Client
from guavagate.cli._errors import ExitCode, ToolError
from guavagate.clock import SystemClock
from guavagate.models import Revision, TeamId
from guavagate.operators import StatusBody

_POLL_SECONDS: Final = 0.5
_CLOCK: Final = SystemClock()


def wait_until_in_force(
    client: Client, team: TeamId, revision: Revision | None, limit: float
) -> None:
    """Wait until all instances have one revision, at least the given one.

    Raises
    ------
    ToolError
        The limit has passed; the error lists lagging instances and why.
    """
    deadline = _CLOCK.now() + limit
    while True:
        body = client.get(f'/settings/{team}/status', StatusBody)
        if body.everywhere and body.newest >= (revision or 0):
            return
        if _CLOCK.now() >= deadline:
            raise ToolError(_describe_lag(body, limit), ExitCode.LAGGING)
        _CLOCK.sleep(_POLL_SECONDS)


def _describe_lag(body: StatusBody, limit: float) -> str:
    lines = [
        f'{one.instance}: {one.lag}'
        for one in body.instances
        if one.alive and one.revision != body.newest
    ]
    details = '\n'.join(lines)
    return f'not in force everywhere after {limit:g} s\n{details}'
