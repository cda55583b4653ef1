"""Which items start next, and on which samplers; needs no network.

Load pattern: several trainers' steps are open at once, each with some groups
more than its trainer waits for, on samplers with few slots of which one may
be slow. Samplers admit in order of arrival and know no deadline, so what is
sent early keeps what matters waiting: an item is handed out only when a slot
is free for it, jobs by their due time, groups in the trainer's order (groups
carried over from an earlier step come first there), and within a group the
longest first, as the last item to end decides when the group is whole.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._work import JobWork, Progress
from guavagate.models import UpstreamId, WeightVersion
from guavagate.rollouts import ModelDemand

# A group's items share their prompt: on the sampler that has read it, it is
# not read again. Worth a batch that is larger by so many items.
SAME_GROUP_ITEMS: Final = 2
# Less of a difference is within what a fuller batch makes.
MOVE_RATIO: Final = 1.25
# Most items end sooner; what runs for longer is one of the long ones. Each
# move opens a connection, which has its price.
MOVE_AFTER_SECONDS: Final = 1.5
MOST_MOVES: Final = 2


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
    works: Sequence[JobWork], samplers: Sequence[SamplerSlots], now: float
) -> list[Placement]:
    """Return the items to start now; takes their slots from `samplers`."""
    placements: list[Placement] = []
    for work in sorted(works, key=lambda each: each.due):
        if not any(sampler.free for sampler in samplers):
            break
        for progress in order_items(work, now):
            sampler = _find(work, progress, samplers)
            if sampler is None:
                break
            sampler.free -= 1
            sampler.groups.add(progress.item.group)
            placements.append(
                Placement(work.job.id, progress.item.id, sampler.id)
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
            if there is None or here.pace < there.pace * MOVE_RATIO:
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
    long = now - progress.started > MOVE_AFTER_SECONDS
    return progress.run is not None and long and progress.moves < MOST_MOVES


def order_items(work: JobWork, now: float) -> list[Progress]:
    """Return a job's items that wait, in the order to start them."""
    rank: dict[str, int] = {}
    waiting = []
    for progress in work.items.values():
        rank.setdefault(progress.item.group, len(rank))
        if progress.is_waiting(now):
            waiting.append(progress)
    return sorted(
        waiting,
        key=lambda each: (
            rank[each.item.group],
            -each.item.expected_tokens,
        ),
    )


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
        together = SAME_GROUP_ITEMS if group in sampler.groups else 0
        near = together / sampler.slots
        return sampler.pace * (1 + fill) - near

    return min(fitting, key=cost)
