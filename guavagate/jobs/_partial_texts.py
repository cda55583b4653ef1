"""Texts of items that a job's end left unfinished, for a later job.

Load pattern: a trainer goes on when enough groups are whole, and asks for the
others again with its next step. The longest texts are the ones left over:
started anew each time, they would be the last again and might never end.
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

# Two or three steps of each of a few trainers; older ones are too stale.
MOST_ITEMS: Final = 2000


class _Kept(msgspec.Struct):
    """What is there of an item; `result` if it was finished."""

    team: TeamId
    item: JobItem
    text: Text
    result: Result | None = None


class PartialTexts:
    """Keeps what was made of items whose groups were not whole."""

    def __init__(self) -> None:
        self._kept: OrderedDict[ItemId, _Kept] = OrderedDict()

    def keep(self, work: JobWork) -> None:
        """Take in what an ended job leaves."""
        results = {
            each.id: each
            for each in (*work.log.results, *work.pending)
            if each.state is ResultState.COMPLETED
        }
        for progress in work.items.values():
            item = progress.item
            if work.is_whole(item.group):
                continue
            result = results.get(item.id)
            if result is not None or progress.text.last:
                self._kept[item.id] = _Kept(
                    work.job.team, item, progress.text, result
                )
                self._kept.move_to_end(item.id)
        while len(self._kept) > MOST_ITEMS:
            self._kept.popitem(last=False)

    def restore(self, work: JobWork) -> list[Result]:
        """Give a new job what fits it; return the results that are whole."""
        job = work.job
        whole = []
        for progress in work.items.values():
            kept = self._kept.pop(progress.item.id, None)
            if kept is None or not _is_same(kept.item, progress.item):
                continue
            if kept.team != job.team:
                continue
            # A signature is that of the request that gave it, whichever step
            # asked for it; for another request only the text is of use.
            rated = kept.item.reward == progress.item.reward
            if kept.result is not None and rated:
                if _fits(kept.result.versions, job.min_version):
                    whole.append(kept.result)
            elif kept.text.last > progress.text.last and kept.text.fits(
                job.min_version, None
            ):
                progress.text = kept.text
        return whole


def _is_same(one: JobItem, other: JobItem) -> bool:
    return (one.path, one.body) == (other.path, other.body)


def _fits(versions: list[WeightVersion], oldest: WeightVersion) -> bool:
    return bool(versions) and min(versions) >= oldest
