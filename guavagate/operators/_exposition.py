"""Adds the route of the metrics for Prometheus."""

import falcon

from guavagate.metrics import Metrics


class _MetricsResource:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Respond with all metrics in the format that the client accepts."""
        content, headers = self._metrics.render(request.accept)
        response.data = content
        for name, value in headers.items():
            response.set_header(name, value)


def add_metrics_route(app: falcon.App, metrics: Metrics) -> None:
    """Add /metrics, which needs no token."""
    app.add_route('/metrics', _MetricsResource(metrics))
