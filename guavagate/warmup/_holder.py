"""Answers entries that ask for starts, as the holder of a service's budget."""

from typing import Protocol

from guavagate.clock import Clock
from guavagate.links import Bus, Message, expect
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ServiceId
from guavagate.ports.configuration import Warmup
from guavagate.ports.upstreams import Upstream
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.warmup._cold import ColdUpstreams
from guavagate.warmup._cold_watch import ColdWatch
from guavagate.warmup._limits import WarmupBound
from guavagate.warmup._messages import AskWarmup, WarmupReply
from guavagate.warmup._permits import StartPermits
from guavagate.warmup._starts import ServiceStarts


class Turns(Protocol):
    """Determines the holder of each service's budget."""

    me: InstanceId
    ready: bool

    def list_in_turn(self, service: ServiceId) -> list[InstanceId]:
        """Return the holder, then its successors in the order of takeover."""


class StartBudgets:
    """The budgets of all services with a warm-up, as this instance sees them.

    Attributes
    ----------
    permits
        The permitted starts of this instance.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        turns: Turns,
        routes: RouteTable,
        upstreams: UpstreamTable,
        metrics: Metrics,
        bound: WarmupBound,
    ) -> None:
        self._clock = clock
        self._turns = turns
        self._routes = routes
        self._bound = bound
        self._cold = ColdUpstreams()
        self.permits = StartPermits(clock, self.applies)
        self._services: dict[ServiceId, ServiceStarts] = {}
        self._with_lease: frozenset[ServiceId] = frozenset()
        self._update_routes()
        routes.subscribe(self._update_routes)
        ColdWatch(
            clock, upstreams, metrics, self._cold, self.find_warmup
        ).start()
        bus.register(AskWarmup, self._on_ask)

    def applies(self, service: ServiceId) -> bool:
        """Return whether a service has a warm-up."""
        return self.find_warmup(service) is not None

    def find_warmup(self, service: ServiceId) -> Warmup | None:
        """Return a service's warm-up by the configuration in force."""
        found = self._routes.find_service(service)
        return None if found is None else found.warmup

    def get(self, service: ServiceId) -> ServiceStarts:
        """Return the budget of a service."""
        found = self._services.get(service)
        if found is None:
            found = ServiceStarts(
                self._clock,
                self._cold,
                self.permits,
                lambda: self.find_warmup(service),
                lambda: service in self._with_lease,
                self._bound,
            )
            self._services[service] = found
        return found

    def is_cold(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream counts as cold here."""
        return self.get(upstream.service).is_cold(upstream.id, now)

    def refresh(self) -> None:
        """Apply a change of the members, which may change the holders."""
        for service, starts in self._services.items():
            starts.record_turn(in_turn=self._is_first(service))

    def ask(self, message: AskWarmup) -> WarmupReply:
        """Return which upstream may get a request, if this is the holder."""
        starts = self.get(message.service)
        starts.record_turn(in_turn=self._is_first(message.service))
        if not starts.held or not starts.applies():
            return WarmupReply(holder=False)
        now = self._clock.now()
        granted = starts.grant(
            message.upstreams, now, warm_only=message.warm_only
        )
        if granted is not None:
            return WarmupReply(granted=granted)
        retry_after = starts.plan_return(message.upstreams, now)
        return WarmupReply(retry_after=retry_after)

    def _on_ask(self, _: InstanceId, message: Message) -> WarmupReply:
        return self.ask(expect(message, AskWarmup))

    def _is_first(self, service: ServiceId) -> bool:
        in_turn = self._turns.list_in_turn(service)
        return self._turns.ready and in_turn[:1] == [self._turns.me]

    def _update_routes(self) -> None:
        self._with_lease = frozenset(self._routes.job_services())
