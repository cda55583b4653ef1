"""Decides which items start next and on which samplers; no network access.

Failure pattern: steps of several trainers are open, each with a few more
groups than its trainer waits for, on samplers with few slots of which one may
be slow. Samplers admit requests in order of arrival and know no deadlines, so
items that are sent early delay the ones that matter. An item is therefore sent
only when a slot is free for it: deferred groups last, jobs by due time, and
within a job the longest items first and on the fastest sampler. Most items
take a second and a few take the whole time of a step. If one of those starts
late, its group and step are late, while the short ones fit in afterwards.
Groups beyond those that the trainer waits for come last; a trainer lists the
groups that it needs most first.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from guavagate.jobs._models import ItemId, JobId, JobItem
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._forecast import GroupPlan
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._memory import (
    EngineMemory,
    EstimateMemory,
    TextMemory,
    estimate_no_memory,
)
from guavagate.models import RegionId, UpstreamId, WeightVersion
from guavagate.residency import is_inside
from guavagate.rollouts import ModelDemand

# Items of a group share a prompt. Reading it again on another sampler takes a
# tenth of an event interval.
SAME_GROUP_BONUS: Final = 0.06
# More than any difference in speed.
AVOIDED_COST: Final = 100.0
# A full batch slows each event by at most this much, also on unfamiliar kinds
# of samplers.
FULL_BATCH_COST: Final = 0.2
# Between samplers that are about equally good, one with an idle connection is
# preferred. For a short item, a fuller batch matters less than a connection.
CONNECTED_BONUS: Final = 0.04
SHORT_CONNECTED_BONUS: Final = 0.2
# A short item is not on the critical path; the fast samplers are left to the
# long ones.
SHORT_SPEED_WEIGHT: Final = 0.6
# The disadvantage of a sampler whose interval isn't known yet, as it may be a
# slow one.
UNMEASURED_COST: Final = 0.1
# A cold sampler is used last, except for texts that would be cut elsewhere.
COLD_COST: Final = 10.0
_NO_MEMORY: Final = TextMemory()

# Returns the remaining seconds of an item at the median event interval; 0 if
# unknown.
EstimateSeconds = Callable[[JobWork, ItemProgress], float]


class SamplerSlots(msgspec.Struct, kw_only=True):
    """A sampler that can be given items of its models.

    `relative_interval` is its event interval relative to the median: a sampler
    with 2 is half as fast as usual. It is 1 until the sampler is `measured`.
    The items in `avoided_by` start there only if no other one has a free slot.
    `free` counts the slots that may be used now; `held_back` are free too, but
    have to wait for the limit of `rate` starts per second. A `cold` sampler is
    used if no other one has a free slot.
    `region` is `None` if its zone is unknown; bound items do not use it then.
    """

    id: UpstreamId
    versions: dict[str, WeightVersion]
    free: int
    slots: int
    relative_interval: float = 1.0
    measured: bool = True
    cold: bool = False
    held_back: int = 0
    rate: float = math.inf
    idle_connections: int = 0
    models: frozenset[str] = frozenset()
    groups: set[str] = set()
    avoided_by: set[ItemId] = set()
    memory: EngineMemory = msgspec.field(default_factory=EngineMemory)
    region: RegionId | None = None

    def reserve(self, item: JobItem, memory: TextMemory) -> None:
        """Reserve a slot, and memory, for an item."""
        self.free -= 1
        self.idle_connections = max(self.idle_connections - 1, 0)
        self.groups.add(item.group)
        self.memory.reserve(memory)

    def may_run(self, work: JobWork) -> bool:
        """Return whether a job accepts the sampler's version and region."""
        job = work.job
        return (
            job.model in self.models
            and self.versions.get(job.model, 0) >= job.min_version
            and is_inside(self.region, work.regions)
        )


class ItemPlacement(msgspec.Struct, frozen=True):
    """An item to start and the sampler to start it on."""

    job: JobId
    item: ItemId
    sampler: UpstreamId


class Placements(msgspec.Struct):
    """The items to start, and those for which no sampler has memory.

    The items `alone` are larger than the whole memory of their samplers.
    """

    started: list[ItemPlacement] = []
    without_memory: list[ItemProgress] = []
    alone: list[ItemProgress] = []


def place(
    plans: Sequence[GroupPlan],
    samplers: Sequence[SamplerSlots],
    lengths: LengthEstimator,
    estimate_memory: EstimateMemory = estimate_no_memory,
) -> Placements:
    """Return the items to start now; reserve their slots in `samplers`.

    Where an item has a free slot but no memory, smaller items would take each
    bit that becomes free. So the sampler with the least memory in use is left
    to the first such item of each model.
    """
    placements = Placements()
    drained: set[str] = set()
    for plan, progress in order_items(plans, lengths):
        moving = progress.move_target is not None
        if not moving and not any(sampler.free for sampler in samplers):
            break
        model = plan.work.job.model
        memory = estimate_memory(plan.work, progress)
        sampler = find_sampler(
            plan.work,
            progress,
            samplers,
            memory,
            short=lengths.is_short(model, progress),
        )
        if sampler is not None:
            if sampler.memory.is_too_small_for(memory):
                placements.alone.append(progress)
            if sampler.id != progress.move_target:
                sampler.reserve(progress.item, memory)
            placements.started.append(
                ItemPlacement(plan.work.job.id, progress.item.id, sampler.id)
            )
            continue
        usable = _list_usable(plan.work, progress, samplers)
        if not usable:
            continue
        placements.without_memory.append(progress)
        if model not in drained and plan.wanted and not plan.deferred:
            drained.add(model)
            min(usable, key=lambda each: each.memory.reserved_share).free = 0
    return placements


def count_demands(
    works: Sequence[JobWork], now: float
) -> dict[str, ModelDemand]:
    """Return the demand of open jobs by model."""
    demands: dict[str, ModelDemand] = {}
    for work in works:
        demand = demands.setdefault(work.job.model, ModelDemand())
        demand.open_jobs += 1
        waiting = [each for each in work.items.values() if each.is_waiting(now)]
        demand.required = max(demand.required, work.job.min_version)
        demand.waiting += len(waiting)
        if waiting:
            age = now - work.opened_at
            demand.waiting_seconds = max(demand.waiting_seconds, age)
    return demands


def order_items(
    plans: Sequence[GroupPlan], lengths: LengthEstimator
) -> list[tuple[GroupPlan, ItemProgress]]:
    """Return the waiting items in the order to start them."""
    rows = [
        (_make_sort_key(plan, progress, lengths), plan, progress)
        for plan in plans
        for progress in plan.waiting
    ]
    rows.sort(key=lambda each: each[0])
    return [(plan, progress) for _, plan, progress in rows]


def _make_sort_key(
    plan: GroupPlan, progress: ItemProgress, lengths: LengthEstimator
) -> tuple[float, ...]:
    """Return the sort key of a waiting item; the lowest starts first.

    An item that moves has already run, and its slot is reserved.
    """
    if progress.move_target is not None:
        return (-1,)
    length = lengths.estimate(plan.work.job.model, progress).conservative
    head = (not plan.wanted, plan.deferred)
    if plan.deferred:
        return (*head, plan.slot_seconds, plan.due, plan.rank, -length)
    if plan.sequential:
        return (*head, plan.due, plan.work.opened_at, plan.rank, -length)
    return (*head, plan.due, plan.work.opened_at, -length, plan.rank)


def find_sampler(
    work: JobWork,
    progress: ItemProgress,
    samplers: Sequence[SamplerSlots],
    memory: TextMemory = _NO_MEMORY,
    *,
    short: bool = False,
) -> SamplerSlots | None:
    """Return the best sampler with a free slot and memory for an item.

    An item that moves has its slot reserved on the target of the move. The
    event interval matters less for an item that is known to be `short`.
    """
    usable = _list_usable(work, progress, samplers)
    for sampler in usable:
        if sampler.id == progress.move_target:
            return sampler
    return min(
        (each for each in usable if each.memory.fits(memory)),
        key=lambda sampler: _compute_cost(sampler, progress.item, short=short),
        default=None,
    )


def _list_usable(
    work: JobWork, progress: ItemProgress, samplers: Sequence[SamplerSlots]
) -> list[SamplerSlots]:
    """Return the samplers with a free slot that a job may use."""
    return [
        sampler
        for sampler in samplers
        if (sampler.free > 0 or sampler.id == progress.move_target)
        and sampler.may_run(work)
    ]


def _compute_cost(
    sampler: SamplerSlots, item: JobItem, *, short: bool
) -> float:
    fill = max(
        1 - (sampler.free - 1) / sampler.slots, sampler.memory.reserved_share
    )
    bonus = SAME_GROUP_BONUS if item.group in sampler.groups else 0
    if sampler.idle_connections:
        bonus += SHORT_CONNECTED_BONUS if short else CONNECTED_BONUS
    if item.id in sampler.avoided_by:
        bonus -= AVOIDED_COST
    if sampler.cold:
        bonus -= COLD_COST
    if not sampler.measured:
        bonus -= UNMEASURED_COST
    if short:
        interval = SHORT_SPEED_WEIGHT * sampler.relative_interval
        return interval + FULL_BATCH_COST * fill - bonus
    return sampler.relative_interval * (1 + FULL_BATCH_COST * fill) - bonus
