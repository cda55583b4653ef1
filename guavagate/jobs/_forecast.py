"""Which groups will be whole in time, and which go behind; needs no network.

Load pattern: trainers ask for more than the samplers can make, or a sampler is
lost, and steps of several trainers are open at once. Ordered by due time alone
each step is made just after it stopped being of use, as its turn came behind
steps that were late already: all slots are busy and nearly nothing is in time.
So what can not be in time takes nothing from what can: groups are taken in the
order of their due times as long as all of them fit into the time that is left,
and where one does not fit, the group that would cost the most is put behind.
Those that are late in any case go first, whatever they cost.

Groups put behind still run on whatever slots are left, those nearest to whole
first; as soon as there is room for them they are back among the others. With a
backlog the groups of a step are made one after the other: begun all at once,
all of them end together and late. With none the longest texts of all of them
begin first, as the trainer goes on when the last one is there.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from guavagate.jobs._lengths import LengthEstimator
from guavagate.jobs._models import GroupId
from guavagate.jobs._work import ItemProgress, JobWork

# A trainer reads about twice a second and takes what it reads then.
READ_SLACK_SECONDS: Final = 0.5
# How much of a group's longest text comes after all of the group has begun:
# a third of it while little waits, as the longest begin first, and all of it
# where a whole objective's work waits.
TAIL_LIGHT: Final = 0.3
TAIL_FULL: Final = 1.0
# In objectives.
BACKLOG_LIGHT: Final = 0.6
BACKLOG_FULL: Final = 1.0
# With more waiting than this, groups are made one after the other.
BACKLOG_CROWDED: Final = 0.7


class GroupPlan(msgspec.Struct, eq=False):
    """A group with items that wait; times and durations in seconds.

    `work` is what its waiting items take of slots, `longest` how long the
    longest of its items that are not done still takes. It is `late` where that
    is too long already, `behind` where it would make others late, `crowded`
    where so much waits that groups are made one after the other.
    """

    work: JobWork
    group: GroupId
    rank: int
    waiting: list[ItemProgress]
    slot_seconds: float = 0
    longest_seconds: float = 0
    late: bool = False
    deferred: bool = False
    sequential: bool = False

    @property
    def due(self) -> float:
        """Return until when the group is of full use."""
        return self.work.due + READ_SLACK_SECONDS

    @property
    def wanted(self) -> bool:
        """Return whether the trainer waits for it."""
        return self.rank < self.work.job.target_groups


class Forecast(msgspec.Struct):
    """The groups that wait, and the seconds each model's wanted work takes."""

    groups: list[GroupPlan]
    backlogs: dict[str, float]


def forecast(
    works: Sequence[JobWork],
    slots: Mapping[str, float],
    event_seconds: float,
    lengths: LengthEstimator,
    now: float,
) -> Forecast:
    """Return the groups that wait, in the order of their due times.

    Parameters
    ----------
    slots
        What each model has of the samplers that may be given items.
    event_seconds
        What an event usually takes; 0 where no sampler has shown it yet, and
        nothing is put behind then.
    """
    found: list[GroupPlan] = []
    backlogs: dict[str, float] = {}
    for model in sorted({work.job.model for work in works}):
        own = [work for work in works if work.job.model == model]
        room = max(slots.get(model, 0), 1)
        plans, backlogs[model] = _plan_model(
            own, room, event_seconds, lengths, now
        )
        found += plans
    return Forecast(found, backlogs)


def _plan_model(
    works: Sequence[JobWork],
    slots: float,
    event_seconds: float,
    lengths: LengthEstimator,
    now: float,
) -> tuple[list[GroupPlan], float]:
    """Return a model's groups that wait, and how long all wanted take."""
    plans: list[GroupPlan] = []
    running = float(0)
    for work in works:
        planned, seconds = _plan_job(work, event_seconds, lengths, now)
        plans += planned
        running += seconds
    plans.sort(key=_rank_by_due)
    wanted = [each for each in plans if each.wanted]
    backlog = (running + sum(each.slot_seconds for each in wanted)) / slots
    for plan in plans:
        plan.sequential = backlog > BACKLOG_CROWDED * plan.work.job.objective
    if event_seconds and lengths.is_known(works[0].job.model):
        _defer_groups(wanted, running, backlog, slots, now)
    return plans, backlog


def _rank_by_due(plan: GroupPlan) -> tuple[float, float, int]:
    return plan.due, plan.work.opened_at, plan.rank


def _plan_job(
    work: JobWork, event_seconds: float, lengths: LengthEstimator, now: float
) -> tuple[list[GroupPlan], float]:
    """Return a job's groups that wait, and what its running items take."""
    plans: dict[GroupId, GroupPlan] = {}
    running = float(0)
    model = work.job.model
    known = lengths.is_known(model) and event_seconds > 0
    for progress in work.items.values():
        group = progress.item.group
        plan = plans.get(group)
        if plan is None:
            plan = GroupPlan(work, group, len(plans), [])
            plans[group] = plan
        if progress.done or progress.text.complete:
            continue
        waits = progress.is_waiting(now)
        if waits:
            plan.waiting.append(progress)
        if not known:
            continue
        length = lengths.estimate(model, progress)
        plan.longest_seconds = max(
            plan.longest_seconds, length.conservative * event_seconds
        )
        if waits:
            plan.slot_seconds += length.typical * event_seconds
        else:
            running += length.typical * event_seconds
    waiting = [each for each in plans.values() if each.waiting]
    for plan in waiting:
        plan.late = known and now + plan.longest_seconds > plan.due
    return waiting, running


def _defer_groups(
    wanted: Sequence[GroupPlan],
    running: float,
    backlog: float,
    slots: float,
    now: float,
) -> None:
    """Mark the groups that go behind, so that the others are in time.

    Taking the costliest out whenever one does not fit leaves as many in time
    as can be (the rule of Moore and Hodgson).
    """
    kept: list[GroupPlan] = []
    load = running
    for plan in wanted:
        kept.append(plan)
        load += plan.slot_seconds
        if plan.late:
            continue
        tail = plan.longest_seconds * _compute_tail_ratio(
            backlog, plan.work.job.objective
        )
        while plan in kept and now + load / slots + tail > plan.due:
            out = max(kept, key=_rank_for_deferral)
            kept.remove(out)
            out.deferred = True
            load -= out.slot_seconds


def _rank_for_deferral(plan: GroupPlan) -> tuple[bool, float]:
    """Return what speaks for putting a group behind: late first, then work."""
    return plan.late, plan.slot_seconds


def _compute_tail_ratio(backlog: float, objective: float) -> float:
    """Return how much of a longest text comes after its group has begun."""
    share = (backlog / objective - BACKLOG_LIGHT) / (
        BACKLOG_FULL - BACKLOG_LIGHT
    )
    bounded = min(max(share, 0), 1)
    return TAIL_LIGHT + (TAIL_FULL - TAIL_LIGHT) * bounded
