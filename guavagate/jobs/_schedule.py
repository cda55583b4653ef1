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

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from guavagate.jobs._forecast import GroupPlan
from guavagate.jobs._lengths import LengthEstimator
from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.models import UpstreamId, WeightVersion
from guavagate.rollouts import ModelDemand

# Items of a group share a prompt. Reading it again on another sampler takes a
# tenth of an event interval.
SAME_GROUP_BONUS: Final = 0.06
# More than any difference in speed.
AVOIDED_COST: Final = 100.0
# A full batch slows each event by at most this much, also on unfamiliar kinds
# of samplers.
FULL_BATCH_COST: Final = 0.2
# A fuller batch alone explains a smaller difference.
MIN_MOVE_RATIO: Final = 1.25
# The least gain of a move; connecting and reading the prompt cost a tenth of
# it.
MIN_MOVE_GAIN_SECONDS: Final = 0.5
# Most items end sooner; one that runs for longer is one of the long ones.
MOVE_AFTER_SECONDS: Final = 1.5
MAX_MOVES: Final = 2
# Allows one more move where the current sampler is this many times slower.
EXTRA_MOVE_RATIO: Final = 2.0


class SamplerSlots(msgspec.Struct, kw_only=True):
    """A sampler that can be given items of its models.

    `relative_interval` is its event interval relative to the median: a sampler
    with 2 is half as fast as usual. The items in `avoided_by` start there only
    if no other sampler has a free slot.
    """

    id: UpstreamId
    versions: dict[str, WeightVersion]
    free: int
    slots: int
    relative_interval: float = 1.0
    models: frozenset[str] = frozenset()
    groups: set[str] = set()
    avoided_by: set[ItemId] = set()


# Returns the remaining seconds of an item at the median event interval; 0 if
# unknown.
EstimateSeconds = Callable[[JobWork, ItemProgress], float]


class ItemPlacement(msgspec.Struct, frozen=True):
    """An item to start and the sampler to start it on."""

    job: JobId
    item: ItemId
    sampler: UpstreamId


def place(
    plans: Sequence[GroupPlan],
    samplers: Sequence[SamplerSlots],
    lengths: LengthEstimator,
) -> list[ItemPlacement]:
    """Return the items to start now; reserve their slots in `samplers`."""
    placements: list[ItemPlacement] = []
    for plan, progress in order_items(plans, lengths):
        if not any(sampler.free for sampler in samplers):
            break
        sampler = _find_sampler(plan.work, progress, samplers)
        if sampler is None:
            continue
        sampler.free -= 1
        sampler.groups.add(progress.item.group)
        placements.append(
            ItemPlacement(plan.work.job.id, progress.item.id, sampler.id)
        )
    return placements


def find_moves(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    now: float,
    estimate_seconds: EstimateSeconds,
) -> list[ItemProgress]:
    """Return the items to move from slow samplers to faster, free ones.

    Failure pattern: one sampler becomes slow, or is slower anyway, and the
    longest texts of a step run there while faster samplers idle. A short text
    loses little by that; a long one makes its step late. A sampler reads a
    prompt and partial text a hundred times faster than it generates them, so a
    move is cheap. Each item moves a few times at most, those that gain most
    first, and waiting items get free slots before moves do.
    """
    free_intervals = [
        sampler.relative_interval for sampler in samplers if sampler.free > 0
    ]
    slow_interval = MIN_MOVE_RATIO * min(free_intervals, default=0)
    slow_samplers = {
        sampler.id: sampler
        for sampler in samplers
        if sampler.relative_interval >= slow_interval
    }
    if not free_intervals or not slow_samplers:
        return []
    demands = count_demands(works, now)
    candidates = []
    for work in works:
        if demands[work.job.model].waiting:
            continue
        for progress in work.items.values():
            current = slow_samplers.get(progress.sampler or UpstreamId(''))
            if current is not None and progress.run is not None:
                remaining = estimate_seconds(work, progress)
                candidates.append((remaining, work, progress, current))
    candidates.sort(key=lambda each: -each[0] * each[3].relative_interval)
    moves: list[ItemProgress] = []
    for remaining, work, progress, current in candidates:
        target = _find_sampler(work, progress, samplers)
        if target is not None and _is_move_worthwhile(
            progress, current, target, remaining, now
        ):
            target.free -= 1
            moves.append(progress)
    return moves


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


def _is_move_worthwhile(
    progress: ItemProgress,
    current: SamplerSlots,
    target: SamplerSlots,
    remaining: float,
    now: float,
) -> bool:
    """Return whether an item gains from a move.

    If lengths are unknown, an item that has run for long counts as a long one.
    An item that has just moved stays for a while: measured intervals are noisy,
    and if it used up its moves at once it could end up on a slow sampler.
    """
    if progress.started_at is None or progress.moves > MAX_MOVES:
        return False
    ratio = current.relative_interval / target.relative_interval
    min_ratio = (
        MIN_MOVE_RATIO if progress.moves < MAX_MOVES else EXTRA_MOVE_RATIO
    )
    if ratio < min_ratio:
        return False
    settled = now - progress.started_at > MOVE_AFTER_SECONDS
    if remaining and (settled or not progress.moves):
        return (
            remaining * (current.relative_interval - target.relative_interval)
            >= MIN_MOVE_GAIN_SECONDS
        )
    return settled and not remaining


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
    """Return the sort key of a waiting item; the lowest starts first."""
    length = lengths.estimate(plan.work.job.model, progress).conservative
    head = (not plan.wanted, plan.deferred)
    if plan.deferred:
        return (*head, plan.slot_seconds, plan.due, plan.rank, -length)
    if plan.sequential:
        return (*head, plan.due, plan.work.opened_at, plan.rank, -length)
    return (*head, plan.due, plan.work.opened_at, -length, plan.rank)


def _find_sampler(
    work: JobWork, progress: ItemProgress, samplers: Sequence[SamplerSlots]
) -> SamplerSlots | None:
    model = work.job.model
    min_version = work.job.min_version
    eligible = [
        sampler
        for sampler in samplers
        if sampler.free > 0
        and model in sampler.models
        and sampler.versions.get(model, 0) >= min_version
    ]
    if not eligible:
        return None
    group = progress.item.group

    def compute_cost(sampler: SamplerSlots) -> float:
        fill = 1 - (sampler.free - 1) / sampler.slots
        bonus = SAME_GROUP_BONUS if group in sampler.groups else 0
        if progress.item.id in sampler.avoided_by:
            bonus -= AVOIDED_COST
        return sampler.relative_interval * (1 + FULL_BATCH_COST * fill) - bonus

    return min(eligible, key=compute_cost)
