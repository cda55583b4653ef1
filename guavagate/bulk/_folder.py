"""One data folder with a size limit.

Whatever goes wrong with it costs a log line and making the data again, never
a wrong answer and never a wait: reads and writes run in the hub's threads, a
read that takes too long counts as a miss, and a folder that fails is left
alone for a while.
"""

import logging
import os
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path
from typing import Final, TypeVar

import gevent
import xxhash

from guavagate.bulk._records import decode_record, encode_record
from guavagate.clock import Clock
from guavagate.events import disk as events
from guavagate.events import write

_LOGGER = logging.getLogger(__name__)

# Longer than any healthy small disk needs for one file, shorter than making
# a sample again.
READ_SECONDS: Final = 1.0
# After an error the folder is left alone: a full or failing disk answers each
# try slowly, and a log line for each sample would hide the others.
PAUSE_SECONDS: Final = 60.0
MAX_WRITES: Final = 64
_SUFFIX: Final = '.bulk'
_PARTIAL: Final = '.partial'

Result = TypeVar('Result')
# Runs a blocking call away from the event loop.
RunInThread = Callable[[Callable[[], Result]], Result]


def run_in_thread(call: Callable[[], Result]) -> Result:
    """Run a blocking call in the hub's thread pool."""
    return gevent.get_hub().threadpool.apply(call)


class BulkFolder:
    """Keeps payloads by key, the oldest giving way.

    Parameters
    ----------
    limit
        Most bytes kept.
    """

    def __init__(
        self,
        folder: Path,
        limit: int,
        clock: Clock,
        run: RunInThread = run_in_thread,
    ) -> None:
        self._folder = folder
        self._limit = limit
        self._clock = clock
        self._run = run
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._bytes = 0
        self._writes = 0
        self._paused_until = float('-inf')

    @property
    def size(self) -> int:
        """Return the bytes kept."""
        return self._bytes

    def open(self) -> None:
        """Make the folder, drop what was half-written, count the rest."""
        try:
            found = self._run(self._scan)
        except OSError as error:
            self._fail('open', error)
            return
        for name, size in found:
            self._sizes[name] = size
            self._bytes += size
        self._evict()

    def put(self, key: str, payload: bytes) -> None:
        """Keep a payload if the disk allows; returns at once."""
        if self._is_paused() or self._writes >= MAX_WRITES:
            return
        record = encode_record(payload)
        if len(record) > self._limit:
            return
        self._writes += 1
        self._clock.spawn(self._write, _name_file(key), record)

    def get(self, key: str) -> bytes | None:
        """Return a payload, or nothing."""
        name = _name_file(key)
        if name not in self._sizes or self._is_paused():
            return None
        try:
            with self._clock.timeout(READ_SECONDS, TimeoutError):
                record = self._run((self._folder / name).read_bytes)
        except (OSError, TimeoutError) as error:
            self._fail('read', error)
            return None
        payload = decode_record(record)
        if payload is None:
            write(_LOGGER, events.RECORD_DAMAGED, file=name)
            self._forget(name)
        return payload

    def _write(self, name: str, record: bytes) -> None:
        try:
            self._run(lambda: _write_whole(self._folder / name, record))
        except OSError as error:
            self._fail('write', error)
            return
        finally:
            self._writes -= 1
        self._bytes += len(record) - self._sizes.pop(name, 0)
        self._sizes[name] = len(record)
        self._evict()

    def _evict(self) -> None:
        while self._bytes > self._limit:
            self._forget(next(iter(self._sizes)))

    def _forget(self, name: str) -> None:
        self._bytes -= self._sizes.pop(name)
        try:
            self._run((self._folder / name).unlink)
        except OSError as error:
            _LOGGER.debug('could not remove %s: %s', name, error)

    def _scan(self) -> list[tuple[str, int]]:
        self._folder.mkdir(parents=True, exist_ok=True)
        found = []
        for entry in os.scandir(self._folder):
            if entry.name.endswith(_PARTIAL):
                Path(entry.path).unlink()
            elif entry.name.endswith(_SUFFIX):
                status = entry.stat()
                found.append((status.st_mtime, entry.name, status.st_size))
        return [(name, size) for _, name, size in sorted(found)]

    def _is_paused(self) -> bool:
        return self._clock.now() < self._paused_until

    def _fail(self, action: str, error: Exception) -> None:
        self._paused_until = self._clock.now() + PAUSE_SECONDS
        write(
            _LOGGER,
            events.DISK_FAILED,
            action=action,
            folder=self._folder,
            error=repr(error),
        )


def _name_file(key: str) -> str:
    return f'{xxhash.xxh3_128_hexdigest(key.encode())}{_SUFFIX}'


def _write_whole(path: Path, record: bytes) -> None:
    """Write under another name first, so that a file is whole or absent."""
    partial = path.with_suffix(_PARTIAL)
    with partial.open('wb') as opened:
        opened.write(record)
    partial.replace(path)
