"""Counts requests by team and outcome."""

import falcon

from guavagate.metrics import Metrics, names


class CountRequests:
    """Falcon middleware; a route names the team in ``request.context``."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def process_response(
        self,
        request: falcon.Request,
        response: falcon.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Count one answer when its status is known."""
        team = getattr(request.context, 'team', None)
        if team is None:
            return
        status = response.status_code
        outcome = 'answered' if status < 400 else 'refused'
        self._metrics.count(
            names.REQUESTS,
            team=team,
            outcome='failed' if status >= 500 else outcome,
        )
