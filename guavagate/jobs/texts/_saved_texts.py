"""Partial texts as they are saved outside the memory of their owner."""

import msgspec

from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._work import ItemProgress, JobWork, Text
from guavagate.jobs.texts._adoption import adopt_text
from guavagate.models import WeightVersion


class SavedText(msgspec.Struct, frozen=True, array_like=True):
    """A text that is not committed yet."""

    job: JobId
    item: ItemId
    events: list[str]
    versions: list[WeightVersion]
    whole: bool


def list_uncommitted(work: JobWork) -> list[ItemProgress]:
    """Return the items of a job whose texts exist only in memory."""
    return [
        progress
        for progress in work.items.values()
        if progress.text.last_number
        and progress.item.id not in work.log.committed
    ]


def make_saved_text(work: JobWork, progress: ItemProgress) -> SavedText:
    """Return an item's text as it is saved."""
    text = progress.text
    return SavedText(
        work.job.id,
        progress.item.id,
        text.events,
        text.versions,
        text.complete,
    )


def restore_text(work: JobWork, saved: SavedText) -> None:
    """Resume an item from a saved text if that is usable and longer."""
    text = Text(
        list(saved.events),
        list(saved.versions),
        len(saved.events),
        saved.whole,
    )
    adopt_text(work, saved.item, text)
