"""Commits the results of a job in numbered chunks that never change."""

import logging
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.store_writes import create
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.jobs._models import (
    Chunk,
    ItemId,
    JobId,
    Result,
    chunk_path,
    get_chunk_name,
    results_prefix,
)
from guavagate.ports.store import ObjectStore, StoredObject

_LOGGER: Final = logging.getLogger(__name__)
_UNREADABLE: Final = UnreadableObjects()
# Time limit of one write; the owner retries for as long as it owns the job.
WRITE_TIMEOUT_SECONDS: Final = 3.0
# Results gather while the store is away. In one object of more bytes than the
# store takes they would be refused as often as they are sent. Values grow by a
# third on their way to a store that takes a megabyte.
MAX_CHUNK_BYTES: Final = 600_000
# Of a chunk without results, for its writer's name and the braces.
_CHUNK_HEAD_BYTES: Final = 200


class ResultLog:
    """The durable results of a job, in order."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        job: JobId,
        writer: str,
        max_chunk_bytes: int = MAX_CHUNK_BYTES,
    ) -> None:
        self._max_chunk_bytes = max_chunk_bytes
        self._store = store
        self._clock = clock
        self._job = job
        self._writer = writer
        self._next_number = 0
        self._uncertain_chunk: Chunk | None = None
        self.results: list[Result] = []
        self.committed: set[ItemId] = set()

    def load(self) -> None:
        """Read the chunks that are not known yet.

        Raises `StoreUnavailableError`. Chunks never change, and all chunks of a
        job are up to a megabyte, which a slow route carries in a second.
        """
        known = self._next_number
        after = get_chunk_name(known - 1) if known else ''
        chunks, _ = self._store.list_under(results_prefix(self._job), after)
        by_path = {each.path: each for each in chunks}
        while stored := by_path.get(chunk_path(self._job, self._next_number)):
            self._apply(_decode(stored))

    def append(self, results: list[Result]) -> list[Result]:
        """Commit the results that are not committed yet; return those added.

        Raises what `create` raises. A chunk that may have been written is
        retried first and unchanged under the same number, where it either
        exists already or is created now. So no result is committed twice.
        """
        added: list[Result] = []
        while True:
            chunk = self._uncertain_chunk or self._make_chunk(results)
            if not chunk.results:
                return added
            self._uncertain_chunk = chunk
            number = self._next_number
            path = chunk_path(self._job, number)
            value = msgspec.json.encode(chunk)
            other = create(
                self._store, self._clock, path, value, WRITE_TIMEOUT_SECONDS
            )
            if self._next_number > number:
                continue  # A reader loaded this chunk in the meantime.
            if other is None:
                self._apply(chunk)
                added += chunk.results
                continue
            adopted = _decode(other)
            self._apply(adopted)
            write(
                _LOGGER,
                events.RESULTS_ADOPTED,
                job=self._job,
                writer=adopted.writer,
                results=len(adopted.results),
            )

    def _make_chunk(self, results: list[Result]) -> Chunk:
        """Return a chunk of the first results that fit, or of the first one."""
        uncommitted: list[Result] = []
        size = _CHUNK_HEAD_BYTES
        for result in results:
            if result.id in self.committed:
                continue
            size += len(msgspec.json.encode(result)) + 1
            if uncommitted and size > self._max_chunk_bytes:
                break
            uncommitted.append(result)
        return Chunk(self._writer, uncommitted)

    def _apply(self, chunk: Chunk) -> None:
        """Apply the chunk that is stored under the next number.

        An uncertain chunk was meant for that number, so it is dropped: retried
        under another number, its items would be committed twice. An item that
        is in two chunks nevertheless keeps its first position. All readers skip
        the same items, as they read the same chunks in the same order.
        """
        self._next_number += 1
        self._uncertain_chunk = None
        for result in chunk.results:
            if result.id not in self.committed:
                self.committed.add(result.id)
                self.results.append(result)


def _decode(stored: StoredObject) -> Chunk:
    """Return a chunk; an unreadable one counts as empty.

    It keeps its number for every reader, so results keep their positions and
    later results are committed after it.
    """
    try:
        return decode_json(stored.value, Chunk)
    except msgspec.MsgspecError as error:
        _UNREADABLE.report(stored.path, str(error))
        return Chunk('', [])
