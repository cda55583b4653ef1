"""Brings a service's samplers to the versions that trainers name."""

import logging
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreUnavailableError, UpstreamError
from guavagate.helpers.waits import wait_for
from guavagate.models import InstanceId, ServiceId, WeightVersion
from guavagate.ports.sampler import (
    OrderRefusedError,
    SamplerClient,
    VersionOrder,
)
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts._assign import assign_samplers
from guavagate.rollouts._lease import (
    Lease,
    LeaseHeldError,
    acquire_for_orders,
)
from guavagate.rollouts._plan import (
    ModelDemand,
    PlannedOrder,
    SamplerView,
    choose_samplers_to_borrow,
    plan_orders,
)
from guavagate.rollouts._states import SamplerState, SamplerStates
from guavagate.routing import RouteTable, UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

# Nothing is decided by this pace alone; changes wake the coordinator.
IDLE_SECONDS: Final = 0.5
# A load takes about this long; asking earlier finds nothing new.
LOAD_SECONDS: Final = 0.95
REPORT_SECONDS: Final = 0.3
# An order that got no answer may be carried out as late as this.
LATE_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.5
# A sampler that is gone for good stays registered for a few seconds.
MOST_DOUBLINGS: Final = 3


class NamedVersions:
    """The newest version of each model that its trainer has named."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.newest: dict[str, WeightVersion] = {}
        self.named_at: dict[str, float] = {}
        self.changed: Callable[[], None] = _ignore

    def put(self, model: str, version: WeightVersion) -> None:
        """Take a version; an older one than before is left out."""
        if version <= self.newest.get(model, 0):
            return
        self.newest[model] = version
        self.named_at[model] = self._clock.now()
        write(_LOGGER, events.VERSION_NAMED, model=model, version=version)
        self.changed()


class Coordinator:
    """Orders the samplers of one service while this instance owns it."""

    def __init__(
        self,
        service: ServiceId,
        me: InstanceId,
        clock: Clock,
        lease: Lease,
        routes: RouteTable,
        upstreams: UpstreamTable,
        named: NamedVersions,
        states: SamplerStates,
        client: SamplerClient,
        demands: Callable[[], dict[str, ModelDemand]],
        count_slots: Callable[[], int],
    ) -> None:
        self._service = service
        self._me = me
        self._clock = clock
        self._lease = lease
        self._routes = routes
        self._upstreams = upstreams
        self._named = named
        self._states = states
        self._client = client
        self._demands = demands
        self._count_slots = count_slots
        self._wake = Event()
        self._task: Task | None = None
        self._orders: list[Task] = []

    def start(self) -> None:
        """Begin to order."""
        if self._task is None:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Send no more orders."""
        if self._task is None:
            return
        self._task.kill(block=False)
        for order in self._orders:
            order.kill(block=False)
        self._orders = []
        self._states.reset_loading()
        self._task = None
        self._lease.release()

    def wake(self) -> None:
        """Look again soon."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            try:
                self._look()
            except LeaseHeldError:
                self._clock.sleep(RETRY_SECONDS)
            except StoreUnavailableError as error:
                _LOGGER.debug('no orders now: %s', error)
                self._clock.sleep(RETRY_SECONDS)
            self._wake.clear()
            wait_for(self._clock, self._wake, IDLE_SECONDS)

    def _look(self) -> None:
        serving = self._upstreams.serving(self._service)
        self._states.update(serving)
        self._assign(serving)
        planned = self._plan(serving)
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
                    self._order, upstream, order.model, order.version
                )
            )

    def _assign(self, serving: list[Upstream]) -> None:
        described = self._routes.find_service(self._service)
        models = () if described is None else described.models
        versions = {
            each.id: self._states.get(each.id).versions for each in serving
        }
        assigned = assign_samplers(
            models, versions, self._states.assigned, self._states.workloads
        )
        if assigned != self._states.assigned:
            self._states.assigned = assigned
            shown = {each: sorted(held) for each, held in assigned.items()}
            write(
                _LOGGER,
                events.ASSIGNED,
                service=self._service,
                samplers=shown,
            )
            self._states.notify()

    def _plan(self, serving: list[Upstream]) -> list[PlannedOrder]:
        """Return the orders to send now, and let idle samplers help."""
        demands = self._ask_demands()
        views = [self._view(each) for each in serving]
        usable = [
            each
            for each in views
            if self._states.get(each.id).avoid_until <= self._clock.now()
        ]
        self._set_helpers(usable, demands)
        # One that refuses connections would else be ordered over and over.
        now = self._clock.now()
        views = [
            self._view(each)
            for each in serving
            if self._states.get(each.id).order_after <= now
        ]
        return plan_orders(views, demands)

    def _ask_demands(self) -> dict[str, ModelDemand]:
        demands = self._demands()
        now = self._clock.now()
        for model, newest in self._named.newest.items():
            demand = demands.setdefault(model, ModelDemand())
            demand.newest = newest
            demand.seconds_since_named = now - self._named.named_at[model]
        return demands

    def _view(self, upstream: Upstream) -> SamplerView:
        state = self._states.get(upstream.id)
        slots = upstream.slots or self._count_slots()
        return SamplerView(
            id=upstream.id,
            versions=state.versions,
            models=self._states.get_models(upstream.id),
            loading=state.loading,
            held=state.in_flight,
            free=max(slots - state.in_flight, 0),
        )

    def _set_helpers(
        self, usable: list[SamplerView], demands: dict[str, ModelDemand]
    ) -> None:
        """Add helpers; those whose model has nothing waiting are let go."""
        helpers = self._states.borrowed
        for sampler, model in list(helpers.items()):
            if model not in demands or not demands[model].waiting:
                helpers.pop(sampler)
        for sampler, model in choose_samplers_to_borrow(
            usable, demands
        ).items():
            helpers[sampler] = model
            write(_LOGGER, events.HELPS, sampler=sampler, model=model)

    def _order(
        self, upstream: Upstream, model: str, version: WeightVersion
    ) -> None:
        began = self._clock.now()
        state = self._states.get(upstream.id)
        try:
            if self._send(upstream, model, version):
                self._await_loaded(upstream, model, version)
                state.failed_orders = 0
        except (UpstreamError, OrderRefusedError) as error:
            write(
                _LOGGER,
                events.ORDER_FAILED,
                sampler=upstream.id,
                model=model,
                version=version,
                problem=str(error),
            )
            self._look_at(upstream)
        finally:
            self._end_order(upstream, state, began)

    def _end_order(
        self, upstream: Upstream, state: SamplerState, began: float
    ) -> None:
        # Of a sampler that has started again meanwhile this is the former
        # state: the new one may be loading by a later order.
        state.loading = False
        write(
            _LOGGER,
            events.LOADED,
            sampler=upstream.id,
            versions=state.versions,
            seconds=round(self._clock.now() - began, 2),
        )
        self._states.notify()
        self._wake.set()

    def _send(
        self, upstream: Upstream, model: str, version: WeightVersion
    ) -> bool:
        """Send one order; return whether the sampler now carries it out."""
        state = self._states.get(upstream.id)
        if state.orders_taken is None:
            self._report(upstream)
        if not self._lease.may_order() or state.orders_taken is None:
            return False
        order = VersionOrder(
            model=model,
            version=version,
            holder=self._me,
            generation=self._lease.generation,
            orders_taken=state.orders_taken,
            keep_running=self._may_mix(),
        )
        taken, state.orders_taken = state.orders_taken, None
        already = self._client.order(upstream, order)
        state.orders_taken = taken if already else taken + 1
        if already:
            self._states.record_version(upstream.id, model, version)
        write(
            _LOGGER,
            events.ORDERED,
            sampler=upstream.id,
            model=model,
            version=version,
            generation=order.generation,
            already=already,
        )
        return not already

    def _may_mix(self) -> bool:
        """Return whether a text may be made by two versions."""
        return not any(
            route.single_version
            for route in self._routes.routes()
            for share in route.shares
            if share.service == self._service
        )

    def _await_loaded(
        self, upstream: Upstream, model: str, version: WeightVersion
    ) -> None:
        """Wait until the sampler has the version, or the order seems lost."""
        state = self._states.get(upstream.id)
        until = self._clock.now() + LATE_SECONDS
        self._clock.sleep(LOAD_SECONDS)
        while self._clock.now() < until:
            if self._states.get(upstream.id) is not state:
                return  # It has started again; the order is gone.
            if state.versions.get(model, 0) >= version:
                return
            if self._report(upstream):
                return
            self._clock.sleep(REPORT_SECONDS)

    def _report(self, upstream: Upstream) -> bool:
        """Ask a sampler for its state; return whether it carries no order."""
        before = self._states.get(upstream.id)
        report = self._client.report(upstream)
        self._note_start(upstream, before, report.incarnation)
        state = self._states.get(upstream.id)
        state.orders_taken = report.orders_taken
        for model, version in report.versions.items():
            self._states.record_version(upstream.id, model, version)
        return not report.busy

    def _note_start(
        self, upstream: Upstream, before: SamplerState, incarnation: int
    ) -> None:
        """Take in of which start a report is.

        One that was asked for before a new start was noted may be the former
        start's. Else it is the sampler's own word of now, also where its
        clock was set back and the new start seems to be the older one.
        """
        state = self._states.get(upstream.id)
        if not incarnation or incarnation == state.incarnation:
            return
        if state is not before and incarnation < state.incarnation:
            raise UpstreamError(
                f'{upstream.id} reported of a former start',
                'nothing; it is asked again',
            )
        self._states.reset(upstream.id, incarnation)

    def _look_at(self, upstream: Upstream) -> None:
        """Learn what became of an order that failed."""
        state = self._states.get(upstream.id)
        pause = RETRY_SECONDS * 2 ** min(state.failed_orders, MOST_DOUBLINGS)
        # It may well serve items; only orders are put off.
        state.order_after = self._clock.now() + pause
        state.failed_orders += 1
        try:
            self._report(upstream)
        except UpstreamError as error:
            _LOGGER.debug('no report: %s', error)


def _ignore() -> None:
    """Do nothing."""
