"""Logs and counts which groups and items a dispatch leaves waiting, and why."""

import logging
from collections.abc import Sequence
from typing import Final

from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.jobs._models import GroupId, ItemId, JobId
from guavagate.jobs.scheduling._forecast import Forecast, GroupPlan
from guavagate.jobs.scheduling._schedule import Placements, SamplerSlots
from guavagate.metrics import Metrics, names

_LOGGER: Final = logging.getLogger(__name__)


class DispatchReports:
    """Reports deferred groups, items without memory and delayed starts.

    A dispatch runs ten times a second, so each group or item is reported once
    for as long as it waits for the same reason.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._deferred: set[tuple[JobId, GroupId]] = set()
        self._without_memory: set[ItemId] = set()
        self._delayed: set[ItemId] = set()

    def report_deferred_groups(self, planned: Forecast, now: float) -> None:
        """Log and count a group once, however often it is deferred."""
        deferred = {
            (each.work.job.id, each.group): each
            for each in planned.groups
            if each.deferred
        }
        for key, plan in deferred.items():
            if key not in self._deferred:
                self._metrics.count(names.GROUPS_DEFERRED)
                _log_deferred_group(plan, planned, now)
        waiting = {(each.work.job.id, each.group) for each in planned.groups}
        self._deferred = (self._deferred & waiting) | deferred.keys()

    def report_memory(
        self, samplers: Sequence[SamplerSlots], placements: Placements
    ) -> None:
        """Log and count an item once, however often it finds no memory."""
        shares = [each.memory.reserved_share for each in samplers]
        self._metrics.set_gauge(
            names.ENGINE_MEMORY_RESERVED, sum(shares) / max(len(shares), 1)
        )
        for progress in placements.alone:
            write(_LOGGER, events.TEXT_ALONE, item=progress.item.id)
        waiting = {each.item.id for each in placements.without_memory}
        for item in waiting - self._without_memory:
            self._metrics.count(names.ITEMS_WITHOUT_MEMORY)
            write(
                _LOGGER,
                events.MEMORY_FULL,
                item=item,
                reserved=round(max(shares), 2),
            )
        self._without_memory = waiting

    def count_delayed(
        self,
        planned: Forecast,
        samplers: Sequence[SamplerSlots],
        placements: Placements,
    ) -> None:
        """Count an item once, however often it waits for the start limit."""
        if not any(each.held_back for each in samplers):
            self._delayed.clear()
            return
        started = {each.item for each in placements.started}
        waiting = {
            progress.item.id
            for plan in planned.groups
            for progress in plan.waiting
            if progress.item.id not in started
        }
        delayed = len(waiting - self._delayed)
        if delayed:
            self._metrics.count(names.STARTS_DELAYED, delayed)
        self._delayed = waiting


def _log_deferred_group(plan: GroupPlan, planned: Forecast, now: float) -> None:
    job = plan.work.job
    write(
        _LOGGER,
        events.GROUP_DEFERRED,
        job=job.id,
        group=plan.group,
        model=job.model,
        waiting=len(plan.waiting),
        left=round(plan.due - now, 2),
        longest=round(plan.longest_seconds, 2),
        work=round(plan.slot_seconds, 1),
        backlog=round(planned.backlogs.get(job.model, 0), 2),
    )
