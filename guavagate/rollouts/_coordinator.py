"""Loads the versions that trainers publish into a service's samplers."""

import logging
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import (
    StoreUnavailableError,
    UpstreamError,
    UpstreamExcludedError,
)
from guavagate.helpers.waits import wait_for
from guavagate.metrics import Metrics
from guavagate.models import (
    InstanceId,
    Regions,
    ServiceId,
    WeightVersion,
)
from guavagate.ports.sampler import (
    OrderRefusedError,
    SamplerClient,
    VersionOrder,
)
from guavagate.ports.upstreams import Upstream
from guavagate.residency import find_no_regions
from guavagate.rollouts._assigner import SamplerAssigner
from guavagate.rollouts._lease import (
    Lease,
    LeaseHeldError,
    acquire_for_orders,
)
from guavagate.rollouts._plan import (
    ModelDemand,
    PlannedOrder,
    SamplerView,
    plan_orders,
)
from guavagate.rollouts._published import PublishedVersions
from guavagate.rollouts._states import SamplerState, SamplerStates
from guavagate.routing import RouteTable, UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

# Only a fallback: changes wake the coordinator.
CHECK_INTERVAL_SECONDS: Final = 0.5
# A load takes about this long, so an earlier report shows nothing new.
FIRST_REPORT_SECONDS: Final = 0.95
REPORT_INTERVAL_SECONDS: Final = 0.3
# An order that got no response may still be executed until this time.
ORDER_TIMEOUT_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.5
# Limits the backoff. A longer one would save little: a sampler that is
# permanently lost stays registered for only a few seconds.
MAX_DOUBLINGS: Final = 3


class Coordinator:
    """Sends load orders to a service's samplers while this instance owns it."""

    def __init__(
        self,
        service: ServiceId,
        me: InstanceId,
        clock: Clock,
        lease: Lease,
        routes: RouteTable,
        upstreams: UpstreamTable,
        published: PublishedVersions,
        states: SamplerStates,
        client: SamplerClient,
        demands: Callable[[], dict[str, ModelDemand]],
        count_slots: Callable[[], int],
        metrics: Metrics | None = None,
        find_regions: Callable[[ServiceId], Regions] = find_no_regions,
    ) -> None:
        self._find_regions = find_regions
        self._service = service
        self._me = me
        self._clock = clock
        self._lease = lease
        self._routes = routes
        self._upstreams = upstreams
        self._published = published
        self._states = states
        self._client = client
        self._demands = demands
        self._count_slots = count_slots
        self._assigner = SamplerAssigner(
            service,
            clock,
            routes,
            states,
            count_slots,
            metrics or Metrics(),
            upstreams.eligibility,
        )
        self._wake = Event()
        self._task: Task | None = None
        self._ordering = True
        self._orders: list[Task] = []

    def start(self, *, ordering: bool = True) -> None:
        """Start sending orders; without them, only track the samplers."""
        self._ordering = ordering
        if self._task is None:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop sending orders and release the lease."""
        if self._task is None:
            return
        self._task.kill(block=False)
        for order in self._orders:
            order.kill(block=False)
        self._orders = []
        self._states.reset_loading()
        self._assigner.reset()
        self._task = None
        self._lease.release()

    def wake(self) -> None:
        """Check for new orders soon."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            try:
                self._check()
            except LeaseHeldError:
                self._clock.sleep(RETRY_SECONDS)
            except StoreUnavailableError as error:
                _LOGGER.debug('cannot send orders: %s', error)
                self._clock.sleep(RETRY_SECONDS)
            self._wake.clear()
            wait_for(self._clock, self._wake, CHECK_INTERVAL_SECONDS)

    def _check(self) -> None:
        serving = self._upstreams.serving(self._service)
        self._states.update(serving)
        demands = self._collect_demands(serving)
        self._assigner.assign(serving, demands)
        planned = self._plan(serving, demands) if self._ordering else []
        if not planned:
            return
        acquire_for_orders(self._lease, self._clock)
        by_id = {each.id: each for each in serving}
        for order in planned:
            if not self._lease.may_order():
                self._lease.acquire_or_renew()
            self._states.get(order.sampler).loading = True
            upstream = by_id[order.sampler]
            self._orders = [each for each in self._orders if not each.dead]
            self._orders.append(
                self._clock.spawn(
                    self._execute_order, upstream, order.model, order.version
                )
            )

    def _plan(
        self, serving: list[Upstream], demands: dict[str, ModelDemand]
    ) -> list[PlannedOrder]:
        """Return the orders to send now, after borrowing idle samplers."""
        views = [self._make_view(each) for each in serving]
        usable = [
            each
            for each in views
            if self._states.get(each.id).avoid_until <= self._clock.now()
        ]
        self._assigner.update_borrowed(usable, demands)
        # Otherwise a sampler that refuses connections would get endless orders.
        now = self._clock.now()
        views = [
            self._make_view(each)
            for each in serving
            if self._states.get(each.id).order_after <= now
        ]
        return plan_orders(views, demands)

    def _collect_demands(
        self, serving: list[Upstream]
    ) -> dict[str, ModelDemand]:
        demands = self._demands()
        self._add_default_demands(demands)
        now = self._clock.now()
        interval = self._states.find_usual_interval(serving)
        for model, demand in demands.items():
            events_per_text = self._states.texts[model].estimate_events()
            demand.item_seconds = events_per_text * interval
        for model, newest in self._published.newest.items():
            demand = demands.setdefault(model, ModelDemand())
            demand.newest = newest
            demand.version_age = now - self._published.published_at[model]
        return demands

    def _add_default_demands(self, demands: dict[str, ModelDemand]) -> None:
        """Bind models without a known job to the regions that any job has.

        Otherwise their first job would find their samplers outside, and wait
        while others load.
        """
        regions = self._find_regions(self._service)
        configured = self._routes.find_service(self._service)
        if regions is None or configured is None:
            return
        for model in configured.models:
            demands.setdefault(model, ModelDemand(regions=regions))

    def _make_view(self, upstream: Upstream) -> SamplerView:
        state = self._states.get(upstream.id)
        slots = upstream.slots or self._count_slots()
        borrower = self._states.borrowed.get(upstream.id)
        return SamplerView(
            id=upstream.id,
            versions=state.versions,
            models=self._states.get_models(upstream.id),
            loading=state.loading,
            in_flight=state.in_flight,
            free=max(slots - state.in_flight, 0),
            borrowed=borrower,
            region=self._upstreams.eligibility.region_of.get(upstream.zone),
        )

    def _execute_order(
        self, upstream: Upstream, model: str, version: WeightVersion
    ) -> None:
        started_at = self._clock.now()
        state = self._states.get(upstream.id)
        try:
            if self._send(upstream, model, version):
                self._wait_until_loaded(upstream, model, version)
                state.failed_orders = 0
        except UpstreamExcludedError as error:
            # Its zone was evacuated meanwhile, perhaps after it took the order.
            state.orders_taken = None
            _LOGGER.debug('no order to %s: %s', upstream.id, error)
        except (UpstreamError, OrderRefusedError) as error:
            write(
                _LOGGER,
                events.ORDER_FAILED,
                sampler=upstream.id,
                model=model,
                version=version,
                problem=str(error),
            )
            self._handle_failed_order(upstream)
        finally:
            self._end_order(upstream, state, started_at)

    def _end_order(
        self, upstream: Upstream, state: SamplerState, started_at: float
    ) -> None:
        """Allow other orders to the sampler, also after a failed one."""
        # If the sampler has restarted in the meantime, this is the state of its
        # previous incarnation; the new one may be loading by a later order.
        state.loading = False
        write(
            _LOGGER,
            events.VERSION_LOADED,
            sampler=upstream.id,
            versions=state.versions,
            seconds=round(self._clock.now() - started_at, 2),
        )
        self._states.notify()
        self._wake.set()

    def _send(
        self, upstream: Upstream, model: str, version: WeightVersion
    ) -> bool:
        """Send one order; return whether the sampler now executes it."""
        state = self._states.get(upstream.id)
        if state.orders_taken is None:
            self._fetch_report(upstream)
        if not self._lease.may_order() or state.orders_taken is None:
            return False
        order = VersionOrder(
            model=model,
            version=version,
            holder=self._me,
            generation=self._lease.generation,
            orders_taken=state.orders_taken,
            keep_running=self._may_mix_versions(),
        )
        before, state.orders_taken = state.orders_taken, None
        already = self._client.order(upstream, order)
        state.orders_taken = before if already else before + 1
        if already:
            self._states.record_version(upstream.id, model, version)
        write(
            _LOGGER,
            events.ORDER_SENT,
            sampler=upstream.id,
            model=model,
            version=version,
            generation=order.generation,
            already=already,
        )
        return not already

    def _may_mix_versions(self) -> bool:
        """Return whether two versions may generate parts of the same text."""
        return not any(
            route.single_version
            for route in self._routes.routes()
            for share in route.shares
            if share.service == self._service
        )

    def _wait_until_loaded(
        self, upstream: Upstream, model: str, version: WeightVersion
    ) -> None:
        """Wait until the sampler has the version or the order timed out."""
        state = self._states.get(upstream.id)
        until = self._clock.now() + ORDER_TIMEOUT_SECONDS
        self._clock.sleep(FIRST_REPORT_SECONDS)
        while self._clock.now() < until:
            if self._states.get(upstream.id) is not state:
                return  # The sampler has restarted and lost the order.
            if state.versions.get(model, 0) >= version:
                return
            if self._fetch_report(upstream):
                return
            self._clock.sleep(REPORT_INTERVAL_SECONDS)

    def _fetch_report(self, upstream: Upstream) -> bool:
        """Update a sampler's state; return whether it executes no order."""
        before = self._states.get(upstream.id)
        report = self._client.report(upstream)
        self._check_incarnation(upstream, before, report.incarnation)
        state = self._states.get(upstream.id)
        state.orders_taken = report.orders_taken
        for model, version in report.versions.items():
            self._states.record_version(upstream.id, model, version)
        return not report.busy

    def _check_incarnation(
        self, upstream: Upstream, before: SamplerState, incarnation: int
    ) -> None:
        """Detect a restart from the incarnation in a report.

        A report that was requested before a restart was detected may come from
        the previous incarnation. Any other report is current, even if the
        sampler's clock was set back and the new incarnation is the lower one.
        """
        state = self._states.get(upstream.id)
        if not incarnation or incarnation == state.incarnation:
            return
        if state is not before and incarnation < state.incarnation:
            raise UpstreamError(
                f'{upstream.id} sent a report of a previous incarnation',
                'no action needed; the report is requested again',
            )
        self._states.reset(upstream.id, incarnation)

    def _handle_failed_order(self, upstream: Upstream) -> None:
        """Delay further orders after a failed one and fetch the state."""
        state = self._states.get(upstream.id)
        pause = RETRY_SECONDS * 2 ** min(state.failed_orders, MAX_DOUBLINGS)
        # The sampler may still serve items; only orders are delayed.
        state.order_after = self._clock.now() + pause
        state.failed_orders += 1
        try:
            self._fetch_report(upstream)
        except UpstreamError as error:
            _LOGGER.debug('no report from the sampler: %s', error)
