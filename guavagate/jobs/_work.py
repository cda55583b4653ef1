"""One job as its owner works on it."""

import itertools
from typing import Final

import msgspec
from gevent import getcurrent

from guavagate.clock import Task
from guavagate.jobs._models import GroupId, ItemId, Job, JobItem, Result
from guavagate.jobs._result_log import ResultLog
from guavagate.models import UpstreamId, WeightVersion
from guavagate.ports.sampler import ItemRun, TextEvent

EVENT_SEPARATOR: Final = '\n'


class Text(msgspec.Struct):
    """What is there of an item's text, by whole events.

    `whole` once its sampler has ended it; only then its reward is asked for.
    """

    events: list[str] = []
    versions: list[WeightVersion] = []
    last_number: int = 0
    complete: bool = False

    def add(self, event: TextEvent) -> None:
        """Take the next event."""
        self.events.append(event.text)
        self.last_number = event.number
        if event.version not in self.versions:
            self.versions.append(event.version)

    def meets_version_bounds(
        self, oldest: WeightVersion, only: WeightVersion | None
    ) -> bool:
        """Return whether it may be gone on with.

        Parameters
        ----------
        only
            The one version that may have made it, where there may be one.
        """
        if any(version < oldest for version in self.versions):
            return False
        return only is None or set(self.versions) <= {only}

    def join(self) -> str:
        """Return the text as it is listed."""
        return EVENT_SEPARATOR.join(self.events)


class ItemProgress(msgspec.Struct):
    """How far an item is; `moves` counts the times it changed samplers.

    `started` is nothing for one that did not run here: its result was listed
    before, or carried over from an earlier job. `reward_task` asks for the
    reward of a whole text, and `reward_failures` counts answers of 500.
    """

    item: JobItem
    text: Text = msgspec.field(default_factory=Text)
    sampler: UpstreamId | None = None
    run: ItemRun | None = None
    task: Task | None = None
    cancelled: bool = False
    started_at: float | None = None
    failures: int = 0
    moves: int = 0
    longest_gap: float = 0
    last_event_at: float = 0
    retry_at: float = 0
    completed_at: float | None = None
    reward_task: Task | None = None
    reward_failures: int = 0
    reward_attempts: int = 0
    reward_retry_at: float = 0
    done: bool = False

    def cancel(self) -> None:
        """Leave the sampler, also while it has not answered yet."""
        self.cancelled = True
        reward = self.reward_task
        if reward is not None and reward is not getcurrent():
            reward.kill(block=False)
        if self.run is not None:
            self.run.cancel()
        elif self.task is not None and self.task is not getcurrent():
            self.task.kill(block=False)

    def is_waiting(self, now: float) -> bool:
        """Return whether the item may be started."""
        if self.done or self.text.complete:
            return False
        return self.sampler is None and now >= self.retry_at

    def is_ready_for_reward(self, now: float) -> bool:
        """Return whether the reward of a whole text may be asked for."""
        if self.done or not self.text.complete:
            return False
        return self.reward_task is None and now >= self.reward_retry_at


class JobWork:
    """A job's items, groups and what waits to be listed."""

    def __init__(
        self, job: Job, log: ResultLog, now: float, age: float
    ) -> None:
        self.job = job
        self.log = log
        self.opened_at = now - age
        self.acquired_at = now
        self.due = self.opened_at + job.objective
        self.ended = False
        self.pending: list[Result] = []
        self.items = {each.id: ItemProgress(item=each) for each in job.items}
        self._groups = _count_groups(job.items)
        self.complete_groups = 0
        for result in log.results:
            self._mark_done(result.id)

    @property
    def open(self) -> bool:
        """Return whether items are still to be run."""
        return not self.ended and len(self.log.committed) < len(self.items)

    def add_result(self, result: Result) -> bool:
        """Take an item's result; return whether it is worth listing now.

        The trainer goes on when enough groups are complete, so the result
        that completes the last of them is listed at once; others wait for
        company, as each write has its price.
        """
        progress = self.items[result.id]
        if progress.done:
            return False
        self.pending.append(result)
        before = self.complete_groups
        self._mark_done(result.id)
        completes = self.complete_groups > before
        return completes and self.complete_groups >= self.job.target_groups

    def apply_listed(self) -> None:
        """Drop what others have listed meanwhile."""
        listed = self.log.committed
        self.pending = [each for each in self.pending if each.id not in listed]
        for item in listed:
            self._mark_done(item)

    def count_missing(self, group: GroupId) -> int:
        """Return how many items of a group are not done."""
        return self._groups[group]

    def is_group_complete(self, group: GroupId) -> bool:
        """Return whether all items of a group are done."""
        return self._groups[group] == 0

    def _mark_done(self, item: ItemId) -> None:
        progress = self.items.get(item)
        if progress is None or progress.done:
            return
        progress.done = True
        progress.cancel()
        group = progress.item.group
        self._groups[group] -= 1
        if self._groups[group] == 0:
            self.complete_groups += 1


def _count_groups(items: list[JobItem]) -> dict[GroupId, int]:
    ordered = sorted(each.group for each in items)
    return {
        group: len(list(members))
        for group, members in itertools.groupby(ordered)
    }
