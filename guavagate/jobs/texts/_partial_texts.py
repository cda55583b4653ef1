"""Stores partial texts of unfinished groups for the job that resubmits them.

Load pattern: a trainer continues once enough groups are complete and resubmits
the others with its next step. Those contain the longest texts. Restarted from
the first event by each job, they would finish last every time and might never
complete.
"""

from collections import OrderedDict
from typing import Final

import msgspec

from guavagate.jobs._models import (
    ItemId,
    JobItem,
    Result,
    ResultState,
)
from guavagate.jobs._work import JobWork, Text
from guavagate.models import TeamId, WeightVersion

# Two or three steps of a few trainers; older items are too stale to resubmit.
MAX_ITEMS: Final = 2000


class _StoredItem(msgspec.Struct):
    """The partial text of an item, and its result if it finished."""

    team: TeamId
    item: JobItem
    text: Text
    result: Result | None = None


class PartialTexts:
    """Stores texts and results of items whose groups did not complete."""

    def __init__(self) -> None:
        self._items: OrderedDict[ItemId, _StoredItem] = OrderedDict()

    def store(self, work: JobWork) -> None:
        """Store what an ended job has of its incomplete groups."""
        completed = {
            each.id: each
            for each in (*work.log.results, *work.pending)
            if each.state is ResultState.COMPLETED
        }
        for progress in work.items.values():
            item = progress.item
            if work.is_group_complete(item.group):
                continue
            result = completed.get(item.id)
            if result is not None or progress.text.last_number:
                self._items[item.id] = _StoredItem(
                    work.job.team, item, progress.text, result
                )
                self._items.move_to_end(item.id)
        while len(self._items) > MAX_ITEMS:
            self._items.popitem(last=False)

    def restore(self, work: JobWork) -> list[Result]:
        """Restore partial texts into a new job; return completed results."""
        job = work.job
        results = []
        for progress in work.items.values():
            stored = self._items.pop(progress.item.id, None)
            if stored is None or not _is_same_request(
                stored.item, progress.item
            ):
                continue
            if stored.team != job.team:
                continue
            # A signature belongs to the reward request that produced it, in
            # whichever step. If the request differs, only the text is usable.
            same_reward = stored.item.reward == progress.item.reward
            if stored.result is not None and same_reward:
                if _meets_min_version(stored.result.versions, job.min_version):
                    results.append(stored.result)
            elif (
                stored.text.last_number > progress.text.last_number
                and stored.text.meets_version_bounds(job.min_version, None)
            ):
                progress.text = stored.text
        return results


def _is_same_request(one: JobItem, other: JobItem) -> bool:
    return (one.path, one.body) == (other.path, other.body)


def _meets_min_version(
    versions: list[WeightVersion], min_version: WeightVersion
) -> bool:
    return bool(versions) and min(versions) >= min_version
