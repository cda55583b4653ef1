"""Saves partial texts on the local disk for a restart of all instances.

Failure pattern: all instances stop at once, which loses the replicas at the
other instances. The former owner then resumes its jobs. The longest texts,
which take most of a step's time, would restart from the first event, and all of
them would be late. A snapshot holds a prefix of each text as its sampler
generated it. It may be lost, torn or old: it is used only for items that are
not done, and an unreadable file is ignored.

Disks stall for seconds and fill up. A thread writes one file at a time, and a
snapshot is skipped while the previous write is still running.
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
from guavagate.helpers.decoding import decode_msgpack
from guavagate.jobs._models import JobId
from guavagate.jobs._work import JobWork
from guavagate.jobs.texts._saved_texts import (
    SavedText,
    list_uncommitted,
    make_saved_text,
    restore_text,
)
from guavagate.models import ServiceId

_LOGGER: Final = logging.getLogger(__name__)

# More than the texts of all slots of a large fleet; a larger file is not a
# snapshot.
MAX_FILE_BYTES: Final = 16_000_000

RunBlocking = Callable[[Callable[[], None]], object]


def run_in_thread(work: Callable[[], None]) -> object:
    """Run a blocking function in the hub's thread pool."""
    return gevent.get_hub().threadpool.spawn(work)


class TextSnapshots:
    """Saves and restores the texts of the jobs that this instance owns.

    Parameters
    ----------
    path
        The data directory; nothing is saved if it is empty.
    run_blocking
        Runs a function that may block for long.
    """

    def __init__(
        self, path: str, run_blocking: RunBlocking = run_in_thread
    ) -> None:
        self._path = pathlib.Path(path) if path else None
        self._run_blocking = run_blocking
        self._busy = False
        self._problem = ''
        self._problem_logged = False
        self._loaded: dict[JobId, list[SavedText]] = {}

    def load(self, service: ServiceId) -> None:
        """Load the snapshot of an earlier run of this instance."""
        path = self._get_path(service)
        if path is not None:
            self._run_blocking(lambda: self._read(path))

    def save(self, service: ServiceId, works: list[JobWork]) -> None:
        """Save the texts of open jobs, unless a write is still running."""
        path = self._get_path(service)
        if path is None or self._busy:
            return
        self._log_problem()
        texts = [
            make_saved_text(work, progress)
            for work in works
            for progress in list_uncommitted(work)
        ]
        content = msgspec.msgpack.encode(texts)
        self._busy = True
        self._run_blocking(lambda: self._write(path, content))

    def restore(self, work: JobWork) -> None:
        """Restore the saved texts into a job that is taken over."""
        for saved in self._loaded.pop(work.job.id, []):
            restore_text(work, saved)

    def _get_path(self, service: ServiceId) -> pathlib.Path | None:
        if self._path is None:
            return None
        name = parse.quote(service, safe='')
        return self._path / f'texts-{name}.msgpack'

    def _read(self, path: pathlib.Path) -> None:
        try:
            with path.open('rb') as file:
                content = file.read(MAX_FILE_BYTES)
            texts = decode_msgpack(content, list[SavedText])
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._problem = str(error)
            return
        for text in texts:
            self._loaded.setdefault(text.job, []).append(text)

    def _write(self, path: pathlib.Path, content: bytes) -> None:
        """Replace the file atomically.

        A power loss leaves either the old or the new version.
        """
        temporary = path.with_suffix('.new')
        try:
            with temporary.open('wb') as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(path)
        except OSError as error:
            self._problem = str(error)
        else:
            self._problem = ''
        finally:
            self._busy = False

    def _log_problem(self) -> None:
        """Log a failing disk once until it works again.

        Not logged where it occurs, as worker threads must not write log lines.
        """
        if self._problem and not self._problem_logged:
            write(_LOGGER, events.SNAPSHOT_FAILED, problem=self._problem)
        self._problem_logged = bool(self._problem)
