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

from collections.abc import Sequence
from typing import Final

import msgspec

from guavagate.jobs._forecast import GroupPlan
from guavagate.jobs._lengths import Lengths
from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._work import JobWork, Progress
from guavagate.models import UpstreamId, WeightVersion
from guavagate.rollouts import ModelDemand

# A group's items share their prompt: on the sampler that has read it, it is
# not read again, which takes a tenth of the time of one event.
SAME_GROUP_WORTH: Final = 0.06
# A full batch makes an event this much slower than an empty one; measured 4
# and 9 % on two kinds of samplers, and more on others that are not known.
FILL_COST: Final = 0.2
# Less of a difference is within what a fuller batch makes.
MOVE_RATIO: Final = 1.25
# Most items end sooner; what runs for longer is one of the long ones. Each
# move opens a connection, which has its price.
MOVE_AFTER_SECONDS: Final = 1.5
MOST_MOVES: Final = 2
# One more where a sampler has turned so much slower than another.
CRAWL_RATIO: Final = 2.0


class SamplerSlots(msgspec.Struct, kw_only=True):
    """A sampler that may be given items of a model.

    `pace` is how long it takes for an event, against the usual: 2 is half as
    fast.
    """

    id: UpstreamId
    versions: dict[str, WeightVersion]
    free: int
    slots: int
    pace: float = 1.0
    models: frozenset[str] = frozenset()
    groups: set[str] = set()


class Placement(msgspec.Struct, frozen=True):
    """An item to start, and where."""

    job: JobId
    item: ItemId
    sampler: UpstreamId


def place(
    plans: Sequence[GroupPlan],
    samplers: Sequence[SamplerSlots],
    lengths: Lengths,
) -> list[Placement]:
    """Return the items to start now; takes their slots from `samplers`."""
    placements: list[Placement] = []
    for plan, progress in order_items(plans, lengths):
        if not any(sampler.free for sampler in samplers):
            break
        sampler = _find(plan.job, progress, samplers)
        if sampler is None:
            continue
        sampler.free -= 1
        sampler.groups.add(progress.item.group)
        placements.append(
            Placement(plan.job.job.id, progress.item.id, sampler.id)
        )
    return placements


def find_slow(
    works: Sequence[JobWork], samplers: Sequence[SamplerSlots], now: float
) -> list[Progress]:
    """Return the items to take from slow samplers to faster, free ones.

    Load pattern: one sampler turns slow, or is slower than others anyway, and
    the last items of a step run there while faster ones idle. A sampler reads
    a prompt and what was made of a text a hundred times faster than it makes
    it, so a move costs little; each item moves a few times at most.
    """
    demands = count_demands(works, now)
    if any(demand.waiting for demand in demands.values()):
        return []
    by_id = {sampler.id: sampler for sampler in samplers}
    found: list[Progress] = []
    for work in sorted(works, key=lambda each: each.due):
        for progress in work.items.values():
            here = by_id.get(progress.sampler or UpstreamId(''))
            if here is None or not _may_move(progress, now):
                continue
            there = _find(work, progress, samplers)
            if there is None or not _is_worth(progress, here, there):
                continue
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
            since = now - work.since
            demand.waiting_for = max(demand.waiting_for, since)
    return demands


def _may_move(progress: Progress, now: float) -> bool:
    """Return whether an item has run for long enough to be worth moving."""
    if progress.run is None or progress.started is None:
        return False
    long = now - progress.started > MOVE_AFTER_SECONDS
    return long and progress.moves <= MOST_MOVES


def _is_worth(
    progress: Progress, here: SamplerSlots, there: SamplerSlots
) -> bool:
    ratio = here.pace / there.pace
    least = MOVE_RATIO if progress.moves < MOST_MOVES else CRAWL_RATIO
    return ratio >= least


def order_items(
    plans: Sequence[GroupPlan], lengths: Lengths
) -> list[tuple[GroupPlan, Progress]]:
    """Return the items that wait, in the order to start them."""
    rows = [
        (_order(plan, progress, lengths), plan, progress)
        for plan in plans
        for progress in plan.waiting
    ]
    rows.sort(key=lambda each: each[0])
    return [(plan, progress) for _, plan, progress in rows]


def _order(
    plan: GroupPlan, progress: Progress, lengths: Lengths
) -> tuple[float, ...]:
    """Return the key of an item that waits; the least one starts first."""
    length = lengths.expect(plan.job.job.model, progress).long
    head = (not plan.wanted, plan.behind)
    if plan.behind:
        return (*head, plan.work, plan.due, plan.rank, -length)
    if plan.crowded:
        return (*head, plan.due, plan.job.since, plan.rank, -length)
    return (*head, plan.due, plan.job.since, -length, plan.rank)


def _find(
    work: JobWork, progress: Progress, samplers: Sequence[SamplerSlots]
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
        near = SAME_GROUP_WORTH if group in sampler.groups else 0
        return sampler.pace * (1 + FILL_COST * fill) - near

    return min(fitting, key=cost)
