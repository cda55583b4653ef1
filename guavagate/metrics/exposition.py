"""Serves metrics to Prometheus with the forwarder's HTTP server."""

from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import watch_events
from guavagate.http1 import Exchange, HttpServer, ServerMemory
from guavagate.metrics import names
from guavagate.metrics._registry import Metrics

_OK: Final = 200
_NOT_FOUND: Final = 404


def serve_metrics(
    address: str,
    path: str,
    metrics: Metrics,
    clock: Clock,
    memory: ServerMemory | None = None,
) -> HttpServer:
    """Return a server, not yet started, that serves metrics at a path."""
    handle = _make_handler(path, metrics)
    return HttpServer(address, clock, handle, memory=memory)


def count_events(metrics: Metrics) -> None:
    """Count every event written from now on."""
    watch_events(lambda code: metrics.count(names.EVENTS, event=code))


def _make_handler(path: str, metrics: Metrics) -> Callable[[Exchange], None]:
    def handle(exchange: Exchange) -> None:
        exchange.read_body(0)
        if exchange.request.target != path:
            exchange.respond(_NOT_FOUND, [], b'')
            return
        content, headers = metrics.render(exchange.get_header(b'accept'))
        header_list = [
            (name.encode(), value.encode()) for name, value in headers.items()
        ]
        exchange.respond(_OK, header_list, content)

    return handle
