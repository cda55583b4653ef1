"""Which items start next, and on which samplers; needs no network.

Load pattern: several trainers' steps are open at once, each with some groups
more than its trainer waits for, on samplers with few slots of which one may
be slow. Samplers admit in order of arrival and know no deadline, so what is
sent early keeps what matters waiting: an item is handed out only when a slot
is free for it, what the forecast puts behind after all else, jobs by their due
time, and within a job the longest first and on the fastest sampler. Most items
take a second and a few take all the time that the step has, so whichever of
those starts late makes its group and the step late; the short ones fit in
behind. Groups beyond those that the trainer waits for come last; it lists the
ones it needs most first.
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

# A group's items share their prompt: on the sampler that has read it, it is
# not read again, which takes a tenth of the time of one event.
SAME_GROUP_BONUS: Final = 0.06
# A full batch makes an event at most this much slower than an empty one, on
# kinds of samplers that are not known as well.
FULL_BATCH_COST: Final = 0.2
# Less of a difference is within what a fuller batch makes.
MIN_MOVE_RATIO: Final = 1.25
# What a move has to gain; a connection and the prompt take a tenth of that.
MIN_MOVE_GAIN_SECONDS: Final = 0.5
# Most items end sooner; what runs for longer is one of the long ones.
MOVE_AFTER_SECONDS: Final = 1.5
MAX_MOVES: Final = 2
# One more where a sampler has turned so much slower than another.
EXTRA_MOVE_RATIO: Final = 2.0


class SamplerSlots(msgspec.Struct, kw_only=True):
    """A sampler that may be given items of a model.

    `pace` is how long it takes for an event, against the usual: 2 is half as
    fast.
    """

    id: UpstreamId
    versions: dict[str, WeightVersion]
    free: int
    slots: int
    relative_interval: float = 1.0
    models: frozenset[str] = frozenset()
    groups: set[str] = set()


# How long an item still takes at the usual pace, in seconds; 0: not known.
EstimateSeconds = Callable[[JobWork, ItemProgress], float]


class Placement(msgspec.Struct, frozen=True):
    """An item to start, and where."""

    job: JobId
    item: ItemId
    sampler: UpstreamId


def place(
    plans: Sequence[GroupPlan],
    samplers: Sequence[SamplerSlots],
    lengths: LengthEstimator,
) -> list[Placement]:
    """Return the items to start now; takes their slots from `samplers`."""
    placements: list[Placement] = []
    for plan, progress in order_items(plans, lengths):
        if not any(sampler.free for sampler in samplers):
            break
        sampler = _find(plan.work, progress, samplers)
        if sampler is None:
            continue
        sampler.free -= 1
        sampler.groups.add(progress.item.group)
        placements.append(
            Placement(plan.work.job.id, progress.item.id, sampler.id)
        )
    return placements


def find_moves(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    now: float,
    estimate_seconds: EstimateSeconds,
) -> list[ItemProgress]:
    """Return the items to take from slow samplers to faster, free ones.

    Load pattern: one sampler turns slow, or is slower than others anyway, and
    the longest texts of a step run there while faster ones idle: what a short
    one loses by that is a moment, what a long one loses makes its step late. A
    sampler reads a prompt and what was made of a text a hundred times faster
    than it makes it, so a move costs little; each item moves a few times at
    most, those that gain most first. Slots go to items that wait before.
    """
    free = [
        sampler.relative_interval for sampler in samplers if sampler.free > 0
    ]
    slow = MIN_MOVE_RATIO * min(free, default=0)
    by_id = {
        sampler.id: sampler
        for sampler in samplers
        if sampler.relative_interval >= slow
    }
    if not free or not by_id:
        return []
    demands = count_demands(works, now)
    candidates = []
    for work in works:
        if demands[work.job.model].waiting:
            continue
        for progress in work.items.values():
            here = by_id.get(progress.sampler or UpstreamId(''))
            if here is not None and progress.run is not None:
                left = estimate_seconds(work, progress)
                candidates.append((left, work, progress, here))
    candidates.sort(key=lambda each: -each[0] * each[3].relative_interval)
    found: list[ItemProgress] = []
    for left, work, progress, here in candidates:
        there = _find(work, progress, samplers)
        if there is not None and _is_worth(progress, here, there, left, now):
            there.free -= 1
            found.append(progress)
    return found


def count_demands(
    works: Sequence[JobWork], now: float
) -> dict[str, ModelDemand]:
    """Return what open jobs ask of each model."""
    demands: dict[str, ModelDemand] = {}
    for work in works:
        demand = demands.setdefault(work.job.model, ModelDemand())
        demand.open_jobs += 1
        waiting = [each for each in work.items.values() if each.is_waiting(now)]
        demand.required = max(demand.required, work.job.min_version)
        demand.waiting += len(waiting)
        if waiting:
            since = now - work.opened_at
            demand.waiting_seconds = max(demand.waiting_seconds, since)
    return demands


def _is_worth(
    progress: ItemProgress,
    here: SamplerSlots,
    there: SamplerSlots,
    left: float,
    now: float,
) -> bool:
    """Return whether an item gains by a move.

    Where nothing is known of lengths, what has run for long is a long one. An
    item that has just moved stays for a while: paces are told by single events,
    and with its moves used up within a moment it would end on a slow sampler.
    """
    if progress.started_at is None or progress.moves > MAX_MOVES:
        return False
    ratio = here.relative_interval / there.relative_interval
    least = MIN_MOVE_RATIO if progress.moves < MAX_MOVES else EXTRA_MOVE_RATIO
    if ratio < least:
        return False
    settled = now - progress.started_at > MOVE_AFTER_SECONDS
    if left and (settled or not progress.moves):
        return (
            left * (here.relative_interval - there.relative_interval)
            >= MIN_MOVE_GAIN_SECONDS
        )
    return settled and not left


def order_items(
    plans: Sequence[GroupPlan], lengths: LengthEstimator
) -> list[tuple[GroupPlan, ItemProgress]]:
    """Return the items that wait, in the order to start them."""
    rows = [
        (_order(plan, progress, lengths), plan, progress)
        for plan in plans
        for progress in plan.waiting
    ]
    rows.sort(key=lambda each: each[0])
    return [(plan, progress) for _, plan, progress in rows]


def _order(
    plan: GroupPlan, progress: ItemProgress, lengths: LengthEstimator
) -> tuple[float, ...]:
    """Return the key of an item that waits; the least one starts first."""
    length = lengths.estimate(plan.work.job.model, progress).conservative
    head = (not plan.wanted, plan.deferred)
    if plan.deferred:
        return (*head, plan.slot_seconds, plan.due, plan.rank, -length)
    if plan.sequential:
        return (*head, plan.due, plan.work.opened_at, plan.rank, -length)
    return (*head, plan.due, plan.work.opened_at, -length, plan.rank)


def _find(
    work: JobWork, progress: ItemProgress, samplers: Sequence[SamplerSlots]
) -> SamplerSlots | None:
    model = work.job.model
    oldest = work.job.min_version
    fitting = [
        sampler
        for sampler in samplers
        if sampler.free > 0
        and model in sampler.models
        and sampler.versions.get(model, 0) >= oldest
    ]
    if not fitting:
        return None
    group = progress.item.group

    def cost(sampler: SamplerSlots) -> float:
        fill = 1 - (sampler.free - 1) / sampler.slots
        near = SAME_GROUP_BONUS if group in sampler.groups else 0
        return sampler.relative_interval * (1 + FULL_BATCH_COST * fill) - near

    return min(fitting, key=cost)
