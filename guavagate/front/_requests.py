"""Handles callers' requests that are forwarded to upstreams."""

from collections.abc import Callable

from gevent.queue import Queue

from guavagate.clock import Clock
from guavagate.forwarding import (
    Forwarder,
    Outcome,
    StreamForwarder,
    log_outcome,
    send_outcome,
)
from guavagate.http1 import Exchange
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId, TeamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call

CountUsage = Callable[[TeamId, float], None]


class RequestHandler:
    """Forwards requests, answers their callers and counts usage.

    Parameters
    ----------
    count_usage
        Called with the team of a request that an upstream started to run and
        the seconds since then.
    """

    def __init__(
        self,
        clock: Clock,
        forwarder: Forwarder,
        streams: StreamForwarder,
        metrics: Metrics,
        count_usage: CountUsage,
    ) -> None:
        self._clock = clock
        self._forwarder = forwarder
        self._streams = streams
        self._metrics = metrics
        self._count_usage = count_usage

    def forward(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> None:
        """Forward one request and answer it."""
        outcome = self._forward(exchange, call, route, service)
        now = self._clock.now()
        if outcome.began_at is not None:
            self._count_usage(call.team, now - outcome.began_at)
        seconds = now - exchange.arrived_at
        log_outcome(call, route, outcome, seconds)
        self._metrics.observe(
            names.FORWARD_SECONDS, seconds, outcome=outcome.kind.value
        )
        if not exchange.started:
            send_outcome(exchange, outcome)

    def _forward(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> Outcome:
        if route.kind is RouteKind.STREAM:
            return self._streams.forward(exchange, call, route, service)
        results: Queue = Queue()
        exchange.on_disconnect(lambda: results.put(None))
        outcome = self._forwarder.forward(call, route, service, results)
        exchange.on_disconnect(None)
        return outcome
