"""Keeps the assignment of a service's samplers to its models."""

import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.metrics import Metrics, names
from guavagate.models import Regions, ServiceId
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts._allocation import (
    Allocation,
    AllocationReason,
    AllocationState,
    allocate_samplers,
)
from guavagate.rollouts._capacity import ModelWork
from guavagate.rollouts._plan import (
    ModelDemand,
    SamplerView,
    choose_samplers_to_borrow,
)
from guavagate.rollouts._regions import allocate_within_regions
from guavagate.rollouts._states import SamplerStates
from guavagate.routing import Eligibility, RouteTable

_LOGGER: Final = logging.getLogger(__name__)

# Each item that ends wakes the owner, a hundred times a second under load. New
# samplers are assigned at once; other changes can wait for this long.
ASSIGN_INTERVAL_SECONDS: Final = 0.1


class SamplerAssigner:
    """Assigns and borrows samplers while this instance owns the service."""

    def __init__(
        self,
        service: ServiceId,
        clock: Clock,
        routes: RouteTable,
        states: SamplerStates,
        count_slots: Callable[[], int],
        metrics: Metrics,
        eligibility: Eligibility | None = None,
    ) -> None:
        self._eligibility = eligibility or Eligibility()
        self._service = service
        self._clock = clock
        self._routes = routes
        self._states = states
        self._count_slots = count_slots
        self._metrics = metrics
        self._state = AllocationState()
        # The states of models that are bound to regions.
        self._states_by_regions: dict[Regions, AllocationState] = {}
        self._assigned_at = clock.now() - ASSIGN_INTERVAL_SECONDS

    def reset(self) -> None:
        """Forget what was decided; another instance may decide meanwhile."""
        self._state = AllocationState()
        self._states_by_regions = {}

    def assign(
        self,
        serving: Sequence[Upstream],
        demands: Mapping[str, ModelDemand],
    ) -> None:
        """Assign the samplers to the service's models."""
        configured = self._routes.find_service(self._service)
        models = () if configured is None else configured.models
        now = self._clock.now()
        same = self._states.assigned.keys() == {each.id for each in serving}
        if same and now - self._assigned_at < ASSIGN_INTERVAL_SECONDS:
            return
        self._assigned_at = now
        works = {
            model: self._states.get_work(
                model, demands.get(model, ModelDemand()).steps_behind
            )
            for model in models
        }
        delayed = self._count_delayed()
        bounds = {
            model: demands[model].regions
            for model in models
            if model in demands
        }
        allocation = self._allocate(models, serving, works, bounds, now)
        for model, quotient in allocation.quotients.items():
            self._metrics.set_gauge(
                names.MODEL_WORK_PER_SLOT, quotient, model=model
            )
        if self._count_delayed() and not delayed:
            write(
                _LOGGER,
                events.SAMPLER_MOVES_DELAYED,
                service=self._service,
                moved=allocation.moved,
                delayed=allocation.delayed,
            )
        if allocation.assignment != self._states.assigned:
            self._apply(allocation)

    def _allocate(
        self,
        models: Sequence[str],
        serving: Sequence[Upstream],
        works: Mapping[str, ModelWork],
        bounds: Mapping[str, Regions],
        now: float,
    ) -> Allocation:
        fleet = self._states.list_capacities(serving, self._count_slots())
        assigned = self._states.assigned
        if all(each is None for each in bounds.values()):
            self._states_by_regions = {}
            return allocate_samplers(
                models, fleet, works, assigned, self._state, now
            )
        region_of = self._eligibility.region_of
        return allocate_within_regions(
            models,
            fleet,
            works,
            assigned,
            self._states_by_regions,
            now,
            bounds,
            {each.id: region_of.get(each.zone) for each in serving},
        )

    def _count_delayed(self) -> int:
        states = (self._state, *self._states_by_regions.values())
        return sum(each.delayed for each in states)

    def _apply(self, allocation: Allocation) -> None:
        before = self._states.assigned
        moved = sum(
            models != before[sampler]
            for sampler, models in allocation.assignment.items()
            if sampler in before
        )
        self._states.assigned = allocation.assignment
        if allocation.reason is AllocationReason.RECOVERED:
            write(_LOGGER, events.ASSIGNMENT_RECOVERED, service=self._service)
        else:
            self._metrics.count(
                names.SAMPLERS_MOVED,
                moved,
                reason=allocation.reason.name.lower(),
            )
        write(
            _LOGGER,
            events.SAMPLERS_ASSIGNED,
            service=self._service,
            reason=allocation.reason.value,
            moved=moved,
            gain=round(allocation.gain, 2),
            samplers={
                each: sorted(models)
                for each, models in allocation.assignment.items()
            },
        )
        self._states.notify()

    def update_borrowed(
        self,
        usable: Sequence[SamplerView],
        demands: Mapping[str, ModelDemand],
    ) -> None:
        """Borrow samplers; return those whose model has no items waiting."""
        borrowed = self._states.borrowed
        for sampler, model in list(borrowed.items()):
            own = self._states.assigned.get(sampler, frozenset())
            waits = model in demands and demands[model].waiting
            if not waits or model in own:
                borrowed.pop(sampler)
        for sampler, model in choose_samplers_to_borrow(
            usable, demands
        ).items():
            borrowed[sampler] = model
            self._metrics.count(names.SAMPLERS_BORROWED, model=model)
            write(
                _LOGGER,
                events.SAMPLER_BORROWED,
                sampler=sampler,
                model=model,
                waiting=demands[model].waiting,
                item_seconds=round(demands[model].item_seconds, 2),
            )
