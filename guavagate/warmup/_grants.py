"""Asks the holder of a service's start budget before a request is sent.

Requests of services without a warm-up are not asked for. An entry that reaches
no holder sends nothing to a cold upstream, and at most one request in a window
to each warm one.
"""

import logging
import random
from collections.abc import Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.events import warmup as events
from guavagate.events import write
from guavagate.exceptions import LinkError
from guavagate.links import Bus
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId, Regions, ServiceId, UpstreamId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.warmup._holder import StartBudgets, Turns
from guavagate.warmup._limiter import WarmupLimiter
from guavagate.warmup._limits import WINDOW_SECONDS
from guavagate.warmup._messages import AskWarmup, WarmupReply

_LOGGER: Final = logging.getLogger(__name__)

# Share of the objective within which the holder replies, and its bounds.
REPLY_SHARE: Final = 0.05
REPLY_BOUNDS_SECONDS: Final = (0.01, 0.05)
# A holder that did not reply is not asked for so long.
SILENCE_SECONDS: Final = 0.25
# How many upstreams an entry offers at most.
MAX_OFFERED: Final = 8
# A refusal explains requests that end within this time.
REFUSAL_SECONDS: Final = 0.05


class StartGrants:
    """Implements `routing.StartGate`."""

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        turns: Turns,
        routes: RouteTable,
        upstreams: UpstreamTable,
        metrics: Metrics,
        budgets: StartBudgets,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._turns = turns
        self._routes = routes
        self._upstreams = upstreams
        self._metrics = metrics
        self._budgets = budgets
        self._random = rng or random.Random()
        # Without a holder, each instance limits its own starts.
        self._alone = WarmupLimiter(_permit_one)
        self._silent_until: dict[InstanceId, float] = {}
        self._refusals: dict[ServiceId, tuple[float, float]] = {}

    def applies(self, service: ServiceId) -> bool:
        """Return whether a service has a warm-up."""
        return self._budgets.applies(service)

    def choose(
        self,
        service: ServiceId,
        tried: set[UpstreamId],
        *,
        lasting: bool,
        preferred: UpstreamId | None,
        regions: Regions,
        hedge: bool,
    ) -> Upstream | None:
        """Return the upstream that one more request may start at now."""
        self._refusals.pop(service, None)
        serving = self._upstreams.serving(service, regions)
        left = [each for each in serving if each.id not in tried]
        now = self._clock.now()
        starts = self._budgets.get(service)
        cold = {each.id for each in left if starts.is_cold(each.id, now)}
        full = {each.id for each in left if self._is_full(each, now)} - cold

        unavailable = self._upstreams.is_unavailable(service)
        healthy = {
            each.id
            for each in left
            if self._upstreams.load(each.id).ejected_until <= now
        }

        def rank(group: set[UpstreamId]) -> list[UpstreamId]:
            others = {each.id for each in serving} - group
            best = self._upstreams.rank_first(
                service,
                tried | others,
                lasting=lasting,
                preferred=preferred,
                regions=regions,
            )
            if best is None:
                return []
            rest = [] if unavailable else sorted(group & healthy - {best.id})
            self._random.shuffle(rest)
            return [best.id, *rest]

        free = {each.id for each in left} - cold - full
        groups = [free, full] if hedge else [free, cold, full]
        offered = [name for group in groups if group for name in rank(group)]
        if not offered:
            return None
        message = AskWarmup(
            service=service,
            upstreams=tuple(offered[:MAX_OFFERED]),
            warm_only=hedge,
        )
        return self._obtain(message, cold, now)

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent now; use up a permit.

        If the permit of a holder's own request has ended, because the process
        was busy, the request may be sent if the budget permits it anew.
        """
        if self._budgets.permits.use(upstream):
            return True
        starts = self._budgets.get(upstream.service)
        return starts.held and starts.retake(upstream.id, self._clock.now())

    def find_retry_after(self, service: ServiceId) -> float | None:
        """Return when to retry if a request was refused just now."""
        refused_at, seconds = self._refusals.get(service, (0, 0))
        if not seconds or self._clock.now() > refused_at + REFUSAL_SECONDS:
            return None
        return seconds

    def _obtain(
        self, message: AskWarmup, cold: set[UpstreamId], now: float
    ) -> Upstream | None:
        reply = self._ask(message)
        result = 'granted'
        if reply is None:
            result = 'unreachable'
            reply = self._permit_alone(message.upstreams, cold, now)
        elif reply.granted is None:
            result = 'refused'
        self._metrics.count(names.START_GRANTS, result=result)
        if reply.granted is None:
            self._record_refusal(message, reply, cold)
            return None
        # Counted from the question: the holder counts it from later on.
        self._budgets.permits.put(reply.granted, now)
        return self._upstreams.get(reply.granted)

    def _permit_alone(
        self, offered: Sequence[UpstreamId], cold: set[UpstreamId], now: float
    ) -> WarmupReply:
        for upstream in offered:
            if upstream not in cold and self._alone.take(upstream, now):
                return WarmupReply(granted=upstream)
        return WarmupReply(retry_after=WINDOW_SECONDS)

    def _ask(self, message: AskWarmup) -> WarmupReply | None:
        """Return the holder's reply, or `None` if it is not reached."""
        holder = next(iter(self._turns.list_in_turn(message.service)), None)
        now = self._clock.now()
        if holder is None or self._silent_until.get(holder, 0) > now:
            return None
        if holder == self._turns.me:
            reply = self._budgets.ask(message)
            return reply if reply.holder else None
        try:
            reply = self._bus.request(
                holder, message, WarmupReply, self._find_limit(message.service)
            )
        except LinkError as error:
            self._silent_until[holder] = now + SILENCE_SECONDS
            write(
                _LOGGER,
                events.HOLDER_SILENT,
                service=message.service,
                holder=holder,
                problem=str(error),
            )
            return None
        return reply if reply.holder else None

    def _record_refusal(
        self,
        message: AskWarmup,
        reply: WarmupReply,
        cold: set[UpstreamId],
    ) -> None:
        if message.warm_only:
            return
        self._refusals[message.service] = (self._clock.now(), reply.retry_after)
        write(
            _LOGGER,
            events.ONLY_COLD_LEFT,
            service=message.service,
            offered=len(message.upstreams),
            cold=len(cold),
            retry_after=reply.retry_after,
        )

    def _is_full(self, upstream: Upstream, now: float) -> bool:
        load = self._upstreams.load(upstream.id)
        return upstream.slots > 0 and load.count_busy(now) >= upstream.slots

    def _find_limit(self, service: ServiceId) -> float:
        """Return how many seconds the holder has for its reply."""
        objectives = (
            route.objective
            for route in self._routes.routes()
            if any(share.service == service for share in route.shares)
        )
        low, high = REPLY_BOUNDS_SECONDS
        return min(max(min(objectives, default=0) * REPLY_SHARE, low), high)


def _permit_one(_: UpstreamId, now: float) -> int:
    """Return how many starts in a window an instance permits itself."""
    return 1
