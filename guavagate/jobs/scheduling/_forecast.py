"""Decides which groups can complete in time and which to defer; no network.

Failure pattern: trainers request more than the samplers can generate, or a
sampler is lost, while steps of several trainers are open. Ordered by due time
alone, each step completes just after it was due, because it waited behind
steps that were already late: all slots are busy and almost nothing is in time.
A group that can't be in time must not delay one that can. Groups are therefore
added in order of due time as long as all of them fit into the remaining time;
when one doesn't fit, the most expensive group is deferred. Groups that are
late in any case are deferred first, whatever they cost.

Deferred groups run on the remaining slots, those with the least work left
first, and rejoin the others as soon as there is capacity. With a backlog the
groups of a step run one after the other: started together, all of them would
complete together and late. Without a backlog the longest texts of all groups
start first, because the trainer continues once the last one is complete.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from guavagate.jobs._models import GroupId
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._lengths import LengthEstimator

# A trainer reads results about twice a second and uses what is there.
READ_SLACK_SECONDS: Final = 0.5
# The share of a group's longest text that is generated after the whole group
# has started: a third with a light backlog, because the longest texts start
# first, and all of it with a full one.
LIGHT_TAIL_RATIO: Final = 0.3
FULL_TAIL_RATIO: Final = 1.0
# Backlogs, relative to a job's objective.
LIGHT_BACKLOG_RATIO: Final = 0.6
FULL_BACKLOG_RATIO: Final = 1.0
# Above this backlog, groups run one after the other.
SEQUENTIAL_BACKLOG_RATIO: Final = 0.7


class GroupPlan(msgspec.Struct, eq=False):
    """The plan for a group with waiting items; times in seconds.

    `slot_seconds` is the slot time that its waiting items need, and
    `longest_seconds` the remaining time of its longest unfinished item. The
    group is `late` if that time already exceeds its due time, `deferred` if it
    would make other groups late, and `sequential` if the backlog is so large
    that groups run one after the other.
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
        """Return until when the group has its full value."""
        return self.work.due + READ_SLACK_SECONDS

    @property
    def wanted(self) -> bool:
        """Return whether the trainer waits for the group."""
        return self.rank < self.work.job.target_groups


class Forecast(msgspec.Struct):
    """The waiting groups, and the seconds of wanted work by model."""

    groups: list[GroupPlan]
    backlogs: dict[str, float]


def forecast(
    works: Sequence[JobWork],
    slots: Mapping[str, float],
    event_seconds: float,
    lengths: LengthEstimator,
    now: float,
) -> Forecast:
    """Return the waiting groups in order of due time.

    Parameters
    ----------
    slots
        Each model's share of the slots of the available samplers.
    event_seconds
        The usual event interval; 0 if no sampler has been measured yet, and
        then no group is deferred.
    """
    groups: list[GroupPlan] = []
    backlogs: dict[str, float] = {}
    for model in sorted({work.job.model for work in works}):
        model_works = [work for work in works if work.job.model == model]
        model_slots = max(slots.get(model, 0), 1)
        plans, backlogs[model] = _plan_model(
            model_works, model_slots, event_seconds, lengths, now
        )
        groups += plans
    return Forecast(groups, backlogs)


def _plan_model(
    works: Sequence[JobWork],
    slots: float,
    event_seconds: float,
    lengths: LengthEstimator,
    now: float,
) -> tuple[list[GroupPlan], float]:
    """Return a model's waiting groups and the seconds of its wanted work."""
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
        plan.sequential = (
            backlog > SEQUENTIAL_BACKLOG_RATIO * plan.work.job.objective
        )
    if event_seconds and lengths.is_known(works[0].job.model):
        _defer_groups(wanted, running, backlog, slots, now)
    return plans, backlog


def _rank_by_due(plan: GroupPlan) -> tuple[float, float, int]:
    return plan.due, plan.work.opened_at, plan.rank


def _plan_job(
    work: JobWork, event_seconds: float, lengths: LengthEstimator, now: float
) -> tuple[list[GroupPlan], float]:
    """Return a job's waiting groups and the slot time of its running items."""
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
    """Mark the groups to defer so that the others are in time.

    Removing the most expensive group whenever one doesn't fit maximizes the
    number of groups in time (the Moore-Hodgson algorithm).
    """
    in_time: list[GroupPlan] = []
    load = running
    for plan in wanted:
        in_time.append(plan)
        load += plan.slot_seconds
        if plan.late:
            continue
        tail = plan.longest_seconds * _compute_tail_ratio(
            backlog, plan.work.job.objective
        )
        while plan in in_time and now + load / slots + tail > plan.due:
            dropped = max(in_time, key=_rank_for_deferral)
            in_time.remove(dropped)
            dropped.deferred = True
            load -= dropped.slot_seconds


def _rank_for_deferral(plan: GroupPlan) -> tuple[bool, float]:
    """Return the sort key for deferral: late groups first, then by work."""
    return plan.late, plan.slot_seconds


def _compute_tail_ratio(backlog: float, objective: float) -> float:
    """Return the share of a longest text that follows its group's start."""
    load = (backlog / objective - LIGHT_BACKLOG_RATIO) / (
        FULL_BACKLOG_RATIO - LIGHT_BACKLOG_RATIO
    )
    bounded = min(max(load, 0), 1)
    return LIGHT_TAIL_RATIO + (FULL_TAIL_RATIO - LIGHT_TAIL_RATIO) * bounded
