"""Holds back items that the fleet has stopped."""

import logging
from typing import Final

from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.quarantine import Quarantine

_LOGGER: Final = logging.getLogger(__name__)


def mark_stopped_items(work: JobWork, quarantine: Quarantine) -> None:
    """Hold back the stopped items of a job, and let released ones run.

    A run of a stopped item is cancelled: its sampler may not have ended yet.
    """
    for progress in work.items.values():
        if progress.done:
            continue
        stopped = quarantine.find(work.job.describe(progress.item)) is not None
        if stopped and not progress.stopped:
            _stop(work, progress)
        progress.stopped = stopped


def _stop(work: JobWork, progress: ItemProgress) -> None:
    write(
        _LOGGER,
        events.ITEM_STOPPED,
        job=work.job.id,
        item=progress.item.id,
        group=progress.item.group,
        sampler=progress.sampler,
    )
    progress.cancel()
