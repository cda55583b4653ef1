"""Reward requests: callers' mechanism, with room left for the callers."""

from typing import Final

from gevent.queue import Queue

from guavagate.clock import Clock
from guavagate.decisions.background import limit_background
from guavagate.forwarding._attempt import Attempts
from guavagate.forwarding._forward import Forwarder, Outcome, OutcomeKind
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call, Dialect
from guavagate.ports.rewards import (
    RewardKind,
    RewardOutcome,
    RewardRequest,
    RewardRoute,
)
from guavagate.ports.upstreams import Upstream
from guavagate.routing import RouteTable, UpstreamTable, pick_service

# Of an upstream that does not tell how many it has.
DEFAULT_SLOTS: Final = 4
_GOOD: Final = range(200, 300)
_SINGLE: Final = frozenset((RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT))


class BackgroundUpstreams:
    """Chooses among the upstreams that may get more background work."""

    def __init__(self, clock: Clock, upstreams: UpstreamTable) -> None:
        self._clock = clock
        self._upstreams = upstreams

    def count_available(self, service: ServiceId) -> int:
        """Return how many more requests a service's upstreams may get."""
        return sum(
            max(self._measure_room(each), 0)
            for each in self._list_sound(service)
        )

    def choose(
        self, service: ServiceId, tried: set[UpstreamId]
    ) -> Upstream | None:
        """Return where one more request goes, or nothing if all are full."""
        roomy = {
            each.id
            for each in self._list_sound(service)
            if self._measure_room(each) > 0
        }
        others = {
            each.id
            for each in self._upstreams.serving(service)
            if each.id not in roomy
        }
        return self._upstreams.choose(service, tried | others)

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Note that a request got nothing in all the time that it had."""
        self._upstreams.record_timeout(upstream)

    def _list_sound(self, service: ServiceId) -> list[Upstream]:
        """Return the upstreams in use, ejected ones if there are no others."""
        now = self._clock.now()
        serving = self._upstreams.serving(service)
        sound = [
            each
            for each in serving
            if self._upstreams.load(each.id).ejected_until <= now
        ]
        return sound or serving

    def _measure_room(self, upstream: Upstream) -> int:
        load = self._upstreams.load(upstream.id)
        slots = upstream.slots or DEFAULT_SLOTS
        return limit_background(slots, load.foreground_slots) - load.in_flight


class RewardForwarder:
    """Implements `ports.rewards.RewardClient`."""

    def __init__(
        self,
        clock: Clock,
        routes: RouteTable,
        upstreams: UpstreamTable,
        attempts: Attempts,
        dialect: Dialect,
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._dialect = dialect
        self._background = BackgroundUpstreams(clock, upstreams)
        self._forwarder = Forwarder(clock, self._background, attempts)

    def find_route(self, reward: RewardRequest) -> RewardRoute | None:
        """Return where a request would go now, or nothing."""
        route = self._find(reward)
        if route is None:
            return None
        return RewardRoute(
            service=pick_service(route, reward.id),
            max_failures=route.max_attempts,
        )

    def count_available(self, service: ServiceId) -> int:
        """Return how many more requests the service's upstreams may get."""
        return self._background.count_available(service)

    def send(self, reward: RewardRequest) -> RewardOutcome:
        """Send a request and wait for its end; cut when its task is killed."""
        route = self._find(reward)
        if route is None:
            return RewardOutcome(kind=RewardKind.NO_ROUTE)
        call = Call(
            id=reward.id,
            request=self._dialect.compose(reward.id, reward.host, reward.path),
            body=reward.body,
            until=self._clock.now() + route.timeout,
        )
        service = pick_service(route, reward.id)
        outcome = self._forwarder.forward(
            call, route, service, Queue(), repeat=True
        )
        return self._judge(outcome)

    def _find(self, reward: RewardRequest) -> Route | None:
        route = self._routes.find(reward.host, reward.path)
        if route is None or route.kind not in _SINGLE:
            return None
        return route

    def _judge(self, outcome: Outcome) -> RewardOutcome:
        """Return what an outcome gives: a signature only with a whole success.

        A success without a signature is not the upstream's word, and what broke
        off, or was crossed, never gets here as an answer.
        """
        attempt = outcome.attempt
        if attempt is None or outcome.kind is not OutcomeKind.ANSWER:
            return RewardOutcome(
                kind=RewardKind.FAILED,
                failures=outcome.failed_answers,
                reason=outcome.reason,
            )
        signature = self._dialect.read_signature(attempt.headers)
        if attempt.status not in _GOOD or not signature:
            return RewardOutcome(
                kind=RewardKind.FAILED,
                failures=outcome.failed_answers,
                reason=f'{attempt.upstream.id} answered {attempt.status}',
            )
        return RewardOutcome(
            kind=RewardKind.SUCCEEDED,
            signature=signature,
            failures=outcome.failed_answers,
        )
