"""Counts callers' requests, from the first byte to the last one sent."""

from collections.abc import Callable
from typing import Any, Final

from guavagate.clock import Clock
from guavagate.metrics import names
from guavagate.metrics._registry import Metrics

# Set in the WSGI environment once the caller is known.
ENV_TEAM: Final = 'guavagate.team'

End = Callable[[str], None]


def make_request_observer(
    clock: Clock, metrics: Metrics
) -> Callable[[dict[str, Any]], End]:
    """Return what is called at a request's start; what it returns, at its end.

    Requests of unknown callers are left out: they must not make labels.
    """

    def begin(environ: dict[str, Any]) -> End:
        started = clock.now()

        def end(status: str) -> None:
            team = environ.get(ENV_TEAM)
            if not team:
                return
            code = status.partition(' ')[0]
            metrics.count(names.REQUESTS, team=team, status=code)
            seconds = clock.now() - started
            metrics.observe(names.REQUEST_SECONDS, seconds, team=team)

        return end

    return begin
