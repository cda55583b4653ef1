"""When which sampler is ordered to a version; needs no network.

Load pattern: a trainer names a version and at once submits its next step,
which may still be made by the version before. A sampler that loads starts
nothing for a second, and with two samplers to a model, loading both at once
delays the whole step by that. So a sampler that can serve what is asked for
goes on starting items, and loads when none of its model waits; one that can't
serve it loads at once. Between two steps it loads if it will be done before
the next one is due; else it waits for that step, starts its items, and loads
while they run.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from guavagate.models import UpstreamId, WeightVersion

# A load is put off no longer than this, or the next step would find none of
# the samplers fresh enough.
PUT_OFF_SECONDS: Final = 2.5
# What a load takes.
LOAD_SECONDS: Final = 1.0
# A step that was due and has not come by then comes much later.
OVERDUE_SECONDS: Final = 0.6
# Samplers that load at once: the others go on serving, and the weight store
# is shared by those that load.
LOADING_SHARE: Final = 3
# Items that wait for so long are more than a burst that is being handed out.
HELP_AFTER_SECONDS: Final = 0.6
HELP_WAITING: Final = 4


class ModelDemand(msgspec.Struct):
    """The demand for a model; times in seconds.

    `required` is the oldest version that all open jobs accept, `waiting`
    counts items without a slot, `waiting_seconds` is how long some of them have
    waited, `seconds_since_named` how long ago the trainer named the newest
    version, and `seconds_to_next_job` the expected time to its next job, if
    known.
    """

    newest: WeightVersion = WeightVersion(0)
    required: WeightVersion = WeightVersion(0)
    waiting: int = 0
    waiting_seconds: float = 0
    seconds_since_named: float = 0
    open_jobs: int = 0
    seconds_to_next_job: float | None = None


class SamplerView(msgspec.Struct):
    """A sampler that may be ordered; `free` counts its slots."""

    id: UpstreamId
    versions: Mapping[str, WeightVersion]
    models: frozenset[str]
    loading: bool = False
    held: int = 0
    free: int = 0


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order to send now."""

    sampler: UpstreamId
    model: str
    version: WeightVersion


def plan_orders(
    samplers: Sequence[SamplerView], demands: Mapping[str, ModelDemand]
) -> list[PlannedOrder]:
    """Return the orders to send now, the most urgent first."""
    urgent: list[tuple[int, PlannedOrder]] = []
    calm: list[tuple[int, PlannedOrder]] = []
    for model, demand in demands.items():
        group = [each for each in samplers if model in each.models]
        behind = [
            each
            for each in group
            if not each.loading and each.versions.get(model, 0) < demand.newest
        ]
        must = [
            each
            for each in behind
            if each.versions.get(model, 0) < demand.required
        ]
        may = [each for each in behind if each not in must]
        urgent += [_order(each, model, demand) for each in must]
        if not must and may and _is_calm(demand):
            serving = sum(not each.loading for each in group)
            most = serving - 1 if len(group) > 1 else 1
            may.sort(key=_count_held)
            calm += [_order(each, model, demand) for each in may[:most]]
    allowed = max(len(samplers) // LOADING_SHARE, 1)
    allowed -= sum(each.loading for each in samplers)
    ordered = [*sorted(urgent, key=_rank), *sorted(calm, key=_rank)]
    return _pick(ordered, allowed)


def choose_samplers_to_borrow(
    samplers: Sequence[SamplerView], demands: Mapping[str, ModelDemand]
) -> dict[UpstreamId, str]:
    """Return idle samplers that help with a model they do not serve.

    Load pattern: a model has lost a sampler, or one of its two is slow, while
    the samplers of other models idle between their steps. A load costs less
    than a step that comes too late.
    """
    needy = [
        model
        for model, demand in demands.items()
        if demand.waiting >= HELP_WAITING
        and demand.waiting_seconds > HELP_AFTER_SECONDS
    ]
    needy.sort(key=lambda model: -demands[model].waiting)
    helpers: dict[UpstreamId, str] = {}
    for sampler in sorted(samplers, key=_count_held):
        own = any(
            demands[model].waiting
            for model in sampler.models
            if model in demands
        )
        if own or sampler.loading or sampler.free < HELP_WAITING:
            continue
        for model in needy:
            if model not in sampler.models:
                helpers[sampler.id] = model
                needy.remove(model)
                break
    return helpers


def _is_calm(demand: ModelDemand) -> bool:
    """Return whether a load now holds nothing up."""
    if demand.seconds_since_named > PUT_OFF_SECONDS:
        return True
    if demand.waiting:
        return False
    if demand.open_jobs:
        return True
    # A trainer that is behind its schedule submits as it names the version.
    next_in = -demand.seconds_since_named
    if demand.seconds_to_next_job is not None:
        next_in = max(demand.seconds_to_next_job, next_in)
    return not -OVERDUE_SECONDS < next_in < LOAD_SECONDS


def _order(
    sampler: SamplerView, model: str, demand: ModelDemand
) -> tuple[int, PlannedOrder]:
    order = PlannedOrder(sampler.id, model, demand.newest)
    return sampler.held, order


def _rank(entry: tuple[int, PlannedOrder]) -> tuple[int, str]:
    return entry[0], entry[1].sampler


def _count_held(sampler: SamplerView) -> int:
    return sampler.held


def _pick(
    ordered: Sequence[tuple[int, PlannedOrder]], allowed: int
) -> list[PlannedOrder]:
    """Return the first orders, one for each sampler."""
    chosen: dict[UpstreamId, PlannedOrder] = {}
    for _, order in ordered:
        if len(chosen) < allowed:
            chosen.setdefault(order.sampler, order)
    return list(chosen.values())
