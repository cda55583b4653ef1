"""Saves the long partial texts of open jobs in the store.

Failure pattern: all instances lose power at once, and the disks of the workers
are wiped. Replicas and snapshots are gone, the longest texts of each open step
restart from their first event, and every trainer loses the time that they had
taken, up to a whole step. The store is the only place that outlives this. A
checkpoint holds a prefix of each text as its sampler generated it, so it may be
old or missing, and two owners that write it in turn do no harm.

Each write has a cost. Therefore only texts that have run for a while are saved,
one object for a job, and only if one of them has grown.
"""

import logging
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import StoreError
from guavagate.helpers.decoding import decode_json
from guavagate.jobs._models import JobId, texts_path
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.texts._saved_texts import (
    SavedText,
    list_uncommitted,
    make_saved_text,
    restore_text,
)
from guavagate.ports.store import ObjectStore

_LOGGER: Final = logging.getLogger(__name__)

# The most that a text loses. A step takes a few times as long.
CHECKPOINT_INTERVAL_SECONDS: Final = 2.0
# Most texts end sooner; generating one again takes no longer than a checkpoint
# is old.
MIN_TEXT_SECONDS: Final = 1.5
# Objects in the store are limited to a megabyte; encoding adds to the
# characters of the events. The longest texts are saved first.
MAX_CHARACTERS: Final = 600_000


class TextCheckpoints:
    """Writes and reads the checkpoints of a service's open jobs."""

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._saved: dict[JobId, int] = {}
        self._loaded: dict[JobId, list[SavedText]] = {}

    def save(self, works: list[JobWork]) -> None:
        """Write the checkpoints of the jobs whose long texts have grown."""
        now = self._clock.now()
        self._saved = {
            work.job.id: self._saved.get(work.job.id, 0) for work in works
        }
        for work in works:
            texts = _select_texts(work, now)
            events = sum(each.text.last_number for each in texts)
            if not events or events == self._saved[work.job.id]:
                continue
            value = msgspec.json.encode(
                [make_saved_text(work, each) for each in texts]
            )
            try:
                self._store.put(texts_path(work.job.id), value, None)
            except StoreError as error:
                _LOGGER.debug('texts of %s not saved: %s', work.job.id, error)
                return
            self._saved[work.job.id] = events

    def load(self, job: JobId, log: ResultLog, total: int) -> None:
        """Read a job's checkpoint, unless all of its items are committed."""
        if len(log.committed) >= total:
            return
        try:
            stored = self._store.get(texts_path(job))
            if stored is not None:
                self._loaded[job] = decode_json(stored.value, list[SavedText])
        except (StoreError, msgspec.MsgspecError) as error:
            _LOGGER.debug('texts of %s not loaded: %s', job, error)

    def restore(self, work: JobWork) -> None:
        """Restore the loaded texts into a job that is taken over."""
        for saved in self._loaded.pop(work.job.id, []):
            restore_text(work, saved)


def _select_texts(work: JobWork, now: float) -> list[ItemProgress]:
    """Return the texts to save, the longest first, within the size limit."""
    candidates = [
        each
        for each in list_uncommitted(work)
        if each.started_at is not None
        and now - each.started_at >= MIN_TEXT_SECONDS
    ]
    candidates.sort(key=lambda each: -each.text.last_number)
    left = MAX_CHARACTERS
    chosen: list[ItemProgress] = []
    for progress in candidates:
        left -= sum(map(len, progress.text.events))
        if left < 0:
            break
        chosen.append(progress)
    return chosen
