"""Forwards reward requests, leaving capacity for callers' requests."""

from typing import Final

from gevent.queue import Queue

from guavagate.clock import Clock
from guavagate.decisions.background import limit_background
from guavagate.forwarding._attempt import AttemptRunner
from guavagate.forwarding._finding import OutageChecker
from guavagate.forwarding._forward import Forwarder
from guavagate.forwarding._guard import RequestGuard
from guavagate.forwarding._outcome import Outcome, OutcomeKind
from guavagate.models import ANYWHERE, Regions, ServiceId, UpstreamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call, Dialect
from guavagate.ports.rewards import (
    RewardKind,
    RewardOutcome,
    RewardRequest,
    RewardRoute,
)
from guavagate.ports.upstreams import Upstream
from guavagate.residency import RequestBounds
from guavagate.routing import (
    Obstacle,
    RouteTable,
    UpstreamTable,
    pick_service,
)

# Assumed for an upstream that registers no number of slots.
DEFAULT_SLOTS: Final = 4
_SUCCESS: Final = range(200, 300)
_UNARY_KINDS: Final = frozenset(
    (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)
)


class BackgroundUpstreams:
    """Chooses among the upstreams that may get more background work."""

    def __init__(self, clock: Clock, upstreams: UpstreamTable) -> None:
        self._clock = clock
        self._upstreams = upstreams

    def count_available(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> int:
        """Return how many more requests a service's upstreams may take."""
        return sum(
            max(self._count_free_slots(each), 0)
            for each in self._list_healthy(service, regions)
        )

    def choose(
        self,
        service: ServiceId,
        tried: set[UpstreamId],
        *,
        preferred: UpstreamId | None = None,
        regions: Regions = ANYWHERE,
        hedge: bool = False,
    ) -> Upstream | None:
        """Return an upstream for one request, or `None` if all are full."""
        with_capacity = {
            each.id
            for each in self._list_healthy(service, regions)
            if self._count_free_slots(each) > 0
        }
        excluded = {
            each.id
            for each in self._upstreams.serving(service)
            if each.id not in with_capacity
        }
        return self._upstreams.choose(
            service,
            tried | excluded,
            preferred=preferred,
            regions=regions,
            hedge=hedge,
        )

    def explain(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> Obstacle | None:
        """Return why a request may use no upstream of a service, if so."""
        return self._upstreams.explain(service, regions)

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Record that an upstream sent no answer in the time it had."""
        self._upstreams.record_timeout(upstream)

    def compute_retry_after(self, service: ServiceId) -> float:
        """Return when a caller refused by the whole service should return."""
        return self._upstreams.compute_retry_after(service)

    def _list_healthy(
        self, service: ServiceId, regions: Regions
    ) -> list[Upstream]:
        """Return the upstreams that are not ejected, or all if all are."""
        now = self._clock.now()
        serving = self._upstreams.serving(service, regions)
        healthy = [
            each
            for each in serving
            if self._upstreams.load(each.id).ejected_until <= now
        ]
        return healthy or serving

    def _count_free_slots(self, upstream: Upstream) -> int:
        load = self._upstreams.load(upstream.id)
        slots = upstream.slots or DEFAULT_SLOTS
        return limit_background(slots, load.caller_slots) - load.in_flight


class RewardForwarder:
    """Implements `ports.rewards.RewardClient`."""

    def __init__(
        self,
        clock: Clock,
        routes: RouteTable,
        upstreams: UpstreamTable,
        runner: AttemptRunner,
        dialect: Dialect,
        guard: RequestGuard,
        outages: OutageChecker | None = None,
        bounds: RequestBounds | None = None,
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._dialect = dialect
        self._background = BackgroundUpstreams(clock, upstreams)
        self._forwarder = Forwarder(
            clock, self._background, runner, guard, outages, bounds
        )

    def find_route(self, reward: RewardRequest) -> RewardRoute | None:
        """Return where a request would be sent now, or `None`."""
        route = self._find(reward)
        if route is None:
            return None
        return RewardRoute(
            service=pick_service(route, reward.id),
            max_failures=route.max_attempts,
            regions=route.regions,
        )

    def count_available(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> int:
        """Return how many more requests the service's upstreams may take."""
        return self._background.count_available(service, regions)

    def send(
        self, reward: RewardRequest, regions: Regions = ANYWHERE
    ) -> RewardOutcome:
        """Send a request and wait; cancelled when its task is killed."""
        route = self._find(reward)
        if route is None:
            return RewardOutcome(kind=RewardKind.NO_ROUTE)
        call = Call(
            id=reward.id,
            request=self._dialect.compose(reward.id, reward.host, reward.path),
            body=reward.body,
            until=self._clock.now() + route.timeout,
            regions=regions,
            owed=True,
        )
        service = pick_service(route, reward.id)
        outcome = self._forwarder.forward(
            call, route, service, Queue(), may_repeat=True
        )
        return self._to_reward_outcome(outcome)

    def _find(self, reward: RewardRequest) -> Route | None:
        route = self._routes.find(reward.host, reward.path)
        if route is None or route.kind not in _UNARY_KINDS:
            return None
        return route

    def _to_reward_outcome(self, outcome: Outcome) -> RewardOutcome:
        """Return the reward of an outcome; only a complete success has one.

        A success without a signature does not count, and an incomplete or
        mismatched answer never arrives here as an answer.
        """
        attempt = outcome.attempt
        if attempt is None or outcome.kind is not OutcomeKind.ANSWER:
            return RewardOutcome(
                kind=RewardKind.FAILED,
                failures=outcome.failed_answers,
                lost=outcome.kind is OutcomeKind.UNKNOWN,
                reason=outcome.reason,
            )
        signature = self._dialect.read_signature(attempt.headers)
        if attempt.status not in _SUCCESS or not signature:
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
