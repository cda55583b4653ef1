"""Texts in the making on this instance's own disk, for a restart of all.

Copies at other instances are lost when all instances stop at once. The owner
before goes on with its jobs then, and the longest texts, which take most of the
time that a step has, would be made anew from their first event, each of them
late. What is kept here is a prefix of each text as its sampler made it. All of
it may be lost, torn, or of long ago: it is used only for items that are still
to be made, and a file that can not be read is left out.

Disks stall for seconds and fill up. Files are written by a thread, one at a
time, and what finds the last one still at work is not written.
"""

import logging
import os
import pathlib
from collections.abc import Callable
from typing import Final
from urllib import parse

import gevent
import msgspec

from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._replicas import use_text
from guavagate.jobs._work import JobWork, Text
from guavagate.models import ServiceId, WeightVersion

_LOGGER: Final = logging.getLogger(__name__)

# Longer than what all slots of a large fleet hold; a larger file is not ours.
MOST_BYTES: Final = 16_000_000

RunAside = Callable[[Callable[[], None]], object]


def run_in_thread(work: Callable[[], None]) -> object:
    """Run what may block in a thread of its own."""
    return gevent.get_hub().threadpool.spawn(work)


class _SavedText(msgspec.Struct, frozen=True, array_like=True):
    """A text that was not listed yet."""

    job: JobId
    item: ItemId
    events: list[str]
    versions: list[WeightVersion]
    whole: bool


class TextSnapshots:
    """Keeps the texts of the jobs that this instance works on.

    Parameters
    ----------
    path
        The folder for data; nothing is kept where it is empty.
    run_aside
        Runs what may block for long.
    """

    def __init__(self, path: str, run_aside: RunAside = run_in_thread) -> None:
        self._path = pathlib.Path(path) if path else None
        self._run_aside = run_aside
        self._busy = False
        self._problem = ''
        self._told = False
        self._kept: dict[JobId, list[_SavedText]] = {}

    def load(self, service: ServiceId) -> None:
        """Read what an earlier start of this instance has kept."""
        path = self._find_file(service)
        if path is not None:
            self._run_aside(lambda: self._read(path))

    def save(self, service: ServiceId, works: list[JobWork]) -> None:
        """Keep the texts of open jobs, unless the disk is still at work."""
        path = self._find_file(service)
        if path is None or self._busy:
            return
        self._tell_problem()
        texts = [
            _SavedText(
                work.job.id,
                progress.item.id,
                progress.text.events,
                progress.text.versions,
                progress.text.whole,
            )
            for work in works
            for progress in work.items.values()
            if progress.text.last and progress.item.id not in work.log.committed
        ]
        content = msgspec.msgpack.encode(texts)
        self._busy = True
        self._run_aside(lambda: self._write(path, content))

    def restore(self, work: JobWork) -> None:
        """Give a job that is taken over the texts that were kept here."""
        for saved in self._kept.pop(work.job.id, []):
            text = Text(
                list(saved.events),
                list(saved.versions),
                len(saved.events),
                saved.whole,
            )
            use_text(work, saved.item, text)

    def _find_file(self, service: ServiceId) -> pathlib.Path | None:
        if self._path is None:
            return None
        name = parse.quote(service, safe='')
        return self._path / f'texts-{name}.msgpack'

    def _read(self, path: pathlib.Path) -> None:
        try:
            with path.open('rb') as file:
                content = file.read(MOST_BYTES)
            texts = msgspec.msgpack.decode(content, type=list[_SavedText])
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._problem = str(error)
            return
        for text in texts:
            self._kept.setdefault(text.job, []).append(text)

    def _write(self, path: pathlib.Path, content: bytes) -> None:
        """Replace the file; after a loss of power there is one or the other."""
        fresh = path.with_suffix('.new')
        try:
            with fresh.open('wb') as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            fresh.replace(path)
        except OSError as error:
            self._problem = str(error)
        else:
            self._problem = ''
        finally:
            self._busy = False

    def _tell_problem(self) -> None:
        """Tell of a disk that fails, once until it works again.

        Here and not where it is met: threads write no log lines.
        """
        if self._problem and not self._told:
            write(_LOGGER, events.TEXTS_NOT_KEPT, problem=self._problem)
        self._told = bool(self._problem)
