"""Tracks the items of one job at its owner."""

import itertools
from typing import Final

import msgspec
from gevent import getcurrent

from guavagate.clock import Task
from guavagate.jobs._models import GroupId, ItemId, Job, JobItem, Result
from guavagate.jobs._result_log import ResultLog
from guavagate.models import Regions, UpstreamId, WeightVersion
from guavagate.ports.sampler import ItemRun, TextEvent

EVENT_SEPARATOR: Final = '\n'


# Of an event in the text, as JSON: the line feed that separates it.
_SEPARATOR_BYTES: Final = 2


class Text(msgspec.Struct):
    """The text of an item so far, in complete events.

    `size` is about how many bytes it takes in a result. `complete` is set once
    the sampler has ended the text; only then can its reward be requested.
    Events are numbered from 1 without gaps.
    """

    events: list[str] = []
    versions: list[WeightVersion] = []
    last_number: int = 0
    complete: bool = False
    size: int = 0

    def add(self, event: TextEvent) -> None:
        """Append the next event."""
        self.events.append(event.text)
        self.size += measure_event(event.text)
        self.last_number = event.number
        if event.version not in self.versions:
            self.versions.append(event.version)

    def meets_version_bounds(
        self, min_version: WeightVersion, only_version: WeightVersion | None
    ) -> bool:
        """Return whether the text may be continued or delivered.

        Parameters
        ----------
        only_version
            The only permitted version of a job that accepts a single one.
        """
        if any(version < min_version for version in self.versions):
            return False
        return only_version is None or set(self.versions) <= {only_version}

    def join(self) -> str:
        """Return the text as a result contains it."""
        return EVENT_SEPARATOR.join(self.events)


def measure_event(text: str) -> int:
    """Return about how many bytes an event takes in a result."""
    return len(text.encode()) + _SEPARATOR_BYTES


class ItemProgress(msgspec.Struct):
    """The progress of an item; `moves` counts its changes of sampler.

    `move_target` is the sampler on which an item resumes that is being moved;
    its slot there stays reserved until the run at the former sampler has ended.
    `started_at` is None for an item that didn't run here: its result was
    already committed or comes from an earlier job with the same item.
    `breaks` counts the runs whose connection the sampler closed.
    `reward_task` requests the reward of a complete text, and `reward_failures`
    counts responses with status 500, `reward_losses` requests without a whole
    answer.
    """

    item: JobItem
    text: Text = msgspec.field(default_factory=Text)
    sampler: UpstreamId | None = None
    run: ItemRun | None = None
    task: Task | None = None
    cancelled: bool = False
    started_at: float | None = None
    failures: int = 0
    breaks: int = 0
    moves: int = 0
    move_target: UpstreamId | None = None
    longest_gap: float = 0
    last_event_at: float = 0
    retry_at: float = 0
    completed_at: float | None = None
    reward_task: Task | None = None
    reward_failures: int = 0
    reward_losses: int = 0
    reward_attempts: int = 0
    reward_retry_at: float = 0
    done: bool = False

    def cancel(self) -> None:
        """Cancel the run, even before the sampler responds, and the reward."""
        self.cancelled = True
        reward = self.reward_task
        if reward is not None and reward is not getcurrent():
            reward.kill(block=False)
        if self.run is not None:
            self.run.cancel()
        elif self.task is not None and self.task is not getcurrent():
            self.task.kill(block=False)

    def is_waiting(self, now: float) -> bool:
        """Return whether the item can be started."""
        if self.done or self.text.complete:
            return False
        return self.sampler is None and now >= self.retry_at

    def is_ready_for_reward(self, now: float) -> bool:
        """Return whether the reward of a complete text can be requested."""
        if self.done or not self.text.complete:
            return False
        return self.reward_task is None and now >= self.reward_retry_at


class JobWork:
    """A job's items and groups, and its results that aren't committed yet.

    `regions` are those that bind it by the configuration in force; its owner
    updates them before each use.

    `opened_at` is when the job was submitted and `acquired_at` when this
    instance became its owner, both on this instance's clock.
    """

    def __init__(
        self, job: Job, log: ResultLog, now: float, age: float
    ) -> None:
        self.job = job
        self.log = log
        self.opened_at = now - age
        self.acquired_at = now
        self.due = self.opened_at + job.objective
        self.ended = False
        self.regions: Regions = job.regions
        self.pending: list[Result] = []
        self.items = {each.id: ItemProgress(item=each) for each in job.items}
        self._unfinished = _count_items_by_group(job.items)
        groups = dict.fromkeys(each.group for each in job.items)
        self._ranks = {group: rank for rank, group in enumerate(groups)}
        self.complete_groups = 0
        for result in log.results:
            self._mark_done(result.id)

    @property
    def open(self) -> bool:
        """Return whether the job hasn't ended and lacks committed results."""
        return not self.ended and len(self.log.committed) < len(self.items)

    def add_result(self, result: Result) -> bool:
        """Add an item's result; return whether to commit it at once.

        The trainer continues once enough groups are complete, so the result
        that completes the last of them is committed at once. Others are
        batched, because each write to the store has a cost.
        """
        progress = self.items[result.id]
        if progress.done:
            return False
        self.pending.append(result)
        before = self.complete_groups
        self._mark_done(result.id)
        completes = self.complete_groups > before
        return completes and self.complete_groups >= self.job.target_groups

    def apply_committed(self) -> None:
        """Mark committed items as done; drop their pending results."""
        committed = self.log.committed
        self.pending = [
            each for each in self.pending if each.id not in committed
        ]
        for item in committed:
            self._mark_done(item)

    def is_wanted(self, group: GroupId) -> bool:
        """Return whether the trainer waits for a group.

        A trainer lists the groups that it needs most first.
        """
        return self._ranks[group] < self.job.target_groups

    def count_missing(self, group: GroupId) -> int:
        """Return how many items of a group are unfinished."""
        return self._unfinished[group]

    def is_group_complete(self, group: GroupId) -> bool:
        """Return whether all items of a group are done."""
        return self._unfinished[group] == 0

    def _mark_done(self, item: ItemId) -> None:
        progress = self.items.get(item)
        if progress is None or progress.done:
            return
        progress.done = True
        progress.cancel()
        group = progress.item.group
        self._unfinished[group] -= 1
        if self._unfinished[group] == 0:
            self.complete_groups += 1


def _count_items_by_group(items: list[JobItem]) -> dict[GroupId, int]:
    ordered = sorted(each.group for each in items)
    return {
        group: len(list(members))
        for group, members in itertools.groupby(ordered)
    }
