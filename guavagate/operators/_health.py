"""Health, readiness and metrics."""

from collections.abc import Callable, Sequence

import falcon

from guavagate.metrics import Metrics, names

Readiness = Callable[[], Sequence[str]]


class _Health:
    """Answers as long as the process does."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Say that the process answers."""
        response.media = {'status': 'alive'}


class _Ready:
    """Tells the balancer whether to send requests here."""

    def __init__(self, readiness: Readiness) -> None:
        self._readiness = readiness

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return 200, or 503 with every reason against it."""
        reasons = list(self._readiness())
        response.media = {'ready': not reasons, 'waits_for': reasons}
        if reasons:
            response.status = falcon.HTTP_503


class _Exposition:
    """Metrics for a Prometheus server."""

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


def add_health_routes(
    app: falcon.App, metrics: Metrics, readiness: Readiness
) -> None:
    """Add /healthz, /readyz and /metrics, open to all.

    Parameters
    ----------
    readiness
        Returns every reason why the instance is not ready; none when it is.
    """
    metrics.before_reading(
        lambda: metrics.set_gauge(names.READY, float(not readiness()))
    )
    app.add_route('/healthz', _Health())
    app.add_route('/readyz', _Ready(readiness))
    app.add_route('/metrics', _Exposition(metrics))
