"""Plans which samplers load a new version, and when; uses no network.

Load pattern: a trainer publishes a version and immediately submits its next
step, which may still use the previous version. A sampler that loads starts no
items for a second, and with two samplers per model, loading both at once delays
the whole step by that time. Therefore a sampler that can serve the open jobs
continues to start items, and loads when no item of its model waits; one that
cannot serve them loads at once. Between two steps, a sampler loads if it will
finish before the next step is due; otherwise it waits for that step, starts its
items, and loads while they run.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from guavagate.models import (
    ANYWHERE,
    RegionId,
    Regions,
    UpstreamId,
    WeightVersion,
)
from guavagate.residency import is_inside

# A load is deferred no longer than this; otherwise no sampler would have a
# recent enough version for the next step.
MAX_DEFERRAL_SECONDS: Final = 2.5
# The duration of a load.
LOAD_SECONDS: Final = 1.0
# A step that is overdue by more than this is expected to come much later.
OVERDUE_SECONDS: Final = 0.6
# One in this many samplers may load at the same time: the others continue to
# serve, and concurrent loads share the weight store.
SAMPLERS_PER_LOAD: Final = 3
# Items that wait longer are more than a burst that is still being dispatched.
BORROW_AFTER_SECONDS: Final = 0.6
BORROW_MIN_WAITING: Final = 4


class ModelDemand(msgspec.Struct):
    """The demand for a model; times in seconds.

    `required` is the oldest version that all open jobs accept, `waiting`
    counts items without a slot, `waiting_seconds` is how long some of them have
    waited, `version_age` how long ago the trainer published the newest version,
    `open_jobs` counts the jobs in progress, and `seconds_to_next_job` is the
    expected time to the next job, if known. `steps_behind` is how far the
    trainer is behind its schedule, in steps, and `item_seconds` how long an
    item usually runs, 0 while unknown. `regions` are those of its jobs.
    """

    newest: WeightVersion = WeightVersion(0)
    required: WeightVersion = WeightVersion(0)
    waiting: int = 0
    waiting_seconds: float = 0
    version_age: float = 0
    open_jobs: int = 0
    seconds_to_next_job: float | None = None
    steps_behind: float = 0
    item_seconds: float = 0
    regions: Regions = ANYWHERE


class SamplerView(msgspec.Struct):
    """A sampler's state for planning; `free` is its number of free slots.

    `models` contains the model that it is `borrowed` for, if there is one.
    """

    id: UpstreamId
    versions: Mapping[str, WeightVersion]
    models: frozenset[str]
    loading: bool = False
    in_flight: int = 0
    free: int = 0
    borrowed: str | None = None
    region: RegionId | None = None


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order to load a version."""

    sampler: UpstreamId
    model: str
    version: WeightVersion


def plan_orders(
    samplers: Sequence[SamplerView], demands: Mapping[str, ModelDemand]
) -> list[PlannedOrder]:
    """Return the orders to send now, the most urgent first."""
    urgent: list[tuple[int, PlannedOrder]] = []
    deferrable: list[tuple[int, PlannedOrder]] = []
    for model, demand in demands.items():
        group = [each for each in samplers if model in each.models]
        outdated = [
            each
            for each in group
            if not each.loading and each.versions.get(model, 0) < demand.newest
        ]
        must_load = [
            each
            for each in outdated
            if each.versions.get(model, 0) < demand.required
        ]
        # A borrowed sampler has what the waiting items need; another load
        # would only cost.
        may_load = [
            each
            for each in outdated
            if each not in must_load and each.borrowed != model
        ]
        urgent += [_make_order(each, model, demand) for each in must_load]
        if not must_load and may_load and _may_load_now(demand):
            serving = sum(not each.loading for each in group)
            limit = serving - 1 if len(group) > 1 else 1
            may_load.sort(key=_get_in_flight)
            deferrable += [
                _make_order(each, model, demand) for each in may_load[:limit]
            ]
    allowed = max(len(samplers) // SAMPLERS_PER_LOAD, 1)
    allowed -= sum(each.loading for each in samplers)
    ordered = [
        *sorted(urgent, key=_sort_key),
        *sorted(deferrable, key=_sort_key),
    ]
    return _select_orders(ordered, allowed)


def choose_samplers_to_borrow(
    samplers: Sequence[SamplerView], demands: Mapping[str, ModelDemand]
) -> dict[UpstreamId, str]:
    """Return idle samplers to borrow, with the model that each will serve too.

    Load pattern: a model has lost a sampler, or one of its two is slow, while
    the samplers of other models are idle between their steps. A load costs less
    than a late step. Items that start before a load could end gain nothing by
    it; a sampler that has a version that they accept needs no load.
    """
    short = [
        model
        for model, demand in demands.items()
        if demand.waiting >= BORROW_MIN_WAITING
        and demand.waiting_seconds > BORROW_AFTER_SECONDS
    ]
    short.sort(key=lambda model: -demands[model].waiting)
    worth_load = {
        model
        for model in short
        if count_left_waiting(model, samplers, demands[model])
        >= BORROW_MIN_WAITING
    }
    borrowed: dict[UpstreamId, str] = {}
    for sampler in sorted(samplers, key=_get_in_flight):
        own_waiting = any(
            demands[model].waiting
            for model in sampler.models
            if model in demands
        )
        if own_waiting or sampler.loading or sampler.free < BORROW_MIN_WAITING:
            continue
        for model in short:
            if model in sampler.models or not is_inside(
                sampler.region, demands[model].regions
            ):
                continue
            if model in worth_load or _can_serve(
                sampler, model, demands[model]
            ):
                borrowed[sampler.id] = model
                short.remove(model)
                break
    return borrowed


def count_left_waiting(
    model: str, samplers: Sequence[SamplerView], demand: ModelDemand
) -> float:
    """Return how many of a model's items still wait when a load would end.

    Until then its samplers start an item in each free slot, and in each other
    one whenever an item there ends. While the length of items is unknown, all
    of them count as waiting.
    """
    if not demand.item_seconds:
        return demand.waiting
    started = float(0)
    for sampler in samplers:
        if model not in sampler.models:
            continue
        started += sampler.free
        if not sampler.loading and _can_serve(sampler, model, demand):
            slots = sampler.free + sampler.in_flight
            started += slots * LOAD_SECONDS / demand.item_seconds
    return demand.waiting - started


def _can_serve(sampler: SamplerView, model: str, demand: ModelDemand) -> bool:
    return sampler.versions.get(model, 0) >= max(demand.required, 1)


def _may_load_now(demand: ModelDemand) -> bool:
    """Return whether a load now delays no item."""
    if demand.version_age > MAX_DEFERRAL_SECONDS:
        return True
    if demand.waiting:
        return False
    if demand.open_jobs:
        return True
    # A trainer that is behind schedule submits when it publishes the version.
    seconds_to_next = -demand.version_age
    if demand.seconds_to_next_job is not None:
        seconds_to_next = max(demand.seconds_to_next_job, seconds_to_next)
    return not -OVERDUE_SECONDS < seconds_to_next < LOAD_SECONDS


def _make_order(
    sampler: SamplerView, model: str, demand: ModelDemand
) -> tuple[int, PlannedOrder]:
    order = PlannedOrder(sampler.id, model, demand.newest)
    return sampler.in_flight, order


def _sort_key(entry: tuple[int, PlannedOrder]) -> tuple[int, str]:
    return entry[0], entry[1].sampler


def _get_in_flight(sampler: SamplerView) -> int:
    return sampler.in_flight


def _select_orders(
    ordered: Sequence[tuple[int, PlannedOrder]], allowed: int
) -> list[PlannedOrder]:
    """Return the first orders, at most one per sampler."""
    chosen: dict[UpstreamId, PlannedOrder] = {}
    for _, order in ordered:
        if len(chosen) < allowed:
            chosen.setdefault(order.sampler, order)
    return list(chosen.values())
