"""Handles callers' requests that are forwarded to upstreams."""

from collections.abc import Callable
from typing import Final

from gevent.queue import Queue

from guavagate.admission import Permission, ServiceAdmission
from guavagate.clock import Clock
from guavagate.forwarding import (
    STOPPED_RETRY_SECONDS,
    Forwarder,
    Outcome,
    OutcomeKind,
    StreamForwarder,
    log_outcome,
    send_outcome,
)
from guavagate.http1 import Exchange
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId, TeamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call

# A request that finds all upstreams full waits for a slot, and may find them
# full again: requests sent without asking the queue owner use slots too.
MAX_FULL_TRIES: Final = 4

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
        admission: ServiceAdmission,
    ) -> None:
        self._clock = clock
        self._forwarder = forwarder
        self._streams = streams
        self._metrics = metrics
        self._count_usage = count_usage
        self._admission = admission

    def forward(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> None:
        """Forward one request and answer it."""
        exchange.deadline = call.until
        outcome = self._refuse_late(exchange, call) or self._forward(
            exchange, call, route, service
        )
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

    def _refuse_late(self, exchange: Exchange, call: Call) -> Outcome | None:
        """Return the outcome of a request that a planned stop might cut.

        It has until its deadline, and may need it.
        """
        if exchange.may_take(call.until - self._clock.now()):
            return None
        return Outcome(
            OutcomeKind.NOT_RUN,
            reason='this instance stops',
            retry_after=STOPPED_RETRY_SECONDS,
        )

    def _forward(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> Outcome:
        if route.kind is RouteKind.STREAM:
            return self._streams.forward(exchange, call, route, service)
        refusal = self._forwarder.regions.refuse(call, route, service)
        if refusal is not None:
            return refusal
        outcome, may_wait = self._send(exchange, call, route, service)
        for _ in range(MAX_FULL_TRIES):
            if not may_wait or self._clock.now() >= call.until:
                break
            outcome, may_wait = self._send(exchange, call, route, service)
        return outcome

    def _send(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> tuple[Outcome, bool]:
        """Send a request, once it is permitted.

        Returns
        -------
        The outcome, and whether the request may wait for a slot: it has run
        nowhere, as all upstreams were full.
        """
        permission = self._admission.enter(exchange, call, route, service)
        if not permission.granted:
            return _make_outcome(permission), False
        late = self._refuse_late(exchange, call)
        if late is not None:
            permission.release(False)
            return late, False
        results: Queue = Queue()
        exchange.on_disconnect(lambda: results.put(None))
        refused = False
        try:
            outcome = self._forwarder.forward(
                call,
                route,
                service,
                results,
                preferred=permission.upstream,
            )
            refused = outcome.kind is OutcomeKind.NOT_RUN
        finally:
            exchange.on_disconnect(None)
            permission.release(refused)
        if not refused or outcome.stopped:
            return outcome, False
        full = self._admission.record_refusal(service)
        return outcome, full and not permission.without_owner


def _make_outcome(permission: Permission) -> Outcome:
    """Return the outcome of a request that was sent nowhere."""
    if permission.caller_left:
        return Outcome(OutcomeKind.CALLER_LEFT)
    return Outcome(
        OutcomeKind.NOT_RUN,
        reason=permission.reason,
        retry_after=permission.retry_after,
    )
