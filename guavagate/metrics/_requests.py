"""Measures callers' requests, from first byte received to last one sent."""

from collections.abc import Callable
from typing import Any, Final

from guavagate.clock import Clock
from guavagate.metrics import names
from guavagate.metrics._registry import Metrics

# Set in the WSGI environment once the caller is known.
ENV_TEAM: Final = 'guavagate.team'

OnEnd = Callable[[str], None]


def make_request_observer(
    clock: Clock, metrics: Metrics
) -> Callable[[dict[str, Any]], OnEnd]:
    """Return a function to call when a request starts.

    It returns a function to call with the status when the request ends.
    Requests of unknown callers are not counted, so that they create no labels.
    """

    def begin(environ: dict[str, Any]) -> OnEnd:
        started_at = clock.now()

        def end(status: str) -> None:
            team = environ.get(ENV_TEAM)
            if not team:
                return
            code = status.partition(' ')[0]
            metrics.count(names.REQUESTS, team=team, status=code)
            seconds = clock.now() - started_at
            metrics.observe(names.REQUEST_SECONDS, seconds, team=team)

        return end

    return begin
