"""Metrics for a Prometheus server."""

import falcon

from guavagate.metrics import Metrics


class _Exposition:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return all metrics in the form that the client prefers."""
        content, headers = self._metrics.render(request.accept)
        response.data = content
        for name, value in headers.items():
            response.set_header(name, value)


def add_metrics_route(app: falcon.App, metrics: Metrics) -> None:
    """Add /metrics, open to all."""
    app.add_route('/metrics', _Exposition(metrics))
