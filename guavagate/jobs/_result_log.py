"""The results of one job, listed in numbered chunks that never change."""

import logging
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.helpers.store_writes import create
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.jobs._models import (
    Chunk,
    ItemId,
    JobId,
    Result,
    chunk_path,
    results_prefix,
)
from guavagate.ports.store import ObjectStore, StoredObject

_LOGGER: Final = logging.getLogger(__name__)
_UNREADABLE: Final = UnreadableObjects()
# One try of a write; whoever lists goes on trying as long as it owns the job.
WRITE_SECONDS: Final = 3.0


class ResultLog:
    """What is durable of a job's results, in order."""

    def __init__(
        self, store: ObjectStore, clock: Clock, job: JobId, writer: str
    ) -> None:
        self._store = store
        self._clock = clock
        self._job = job
        self._writer = writer
        self._next = 0
        self._uncertain: Chunk | None = None
        self.results: list[Result] = []
        self.committed: set[ItemId] = set()

    def load(self) -> None:
        """Read all chunks; raises `StoreUnavailableError`."""
        chunks, _ = self._store.list_under(results_prefix(self._job))
        ordered = sorted(chunks, key=lambda each: each.path)
        for stored in ordered[self._next :]:
            self._take(_decode(stored))

    def append(self, results: list[Result]) -> list[Result]:
        """List results that are not listed yet; return those added.

        Raises what `create` raises. A chunk that may have been written is
        tried again first and unchanged: under the same number it is either
        there already or still to be created, and nothing is listed twice.
        """
        added: list[Result] = []
        while True:
            chunk = self._uncertain or self._make(results)
            if not chunk.results:
                return added
            self._uncertain = chunk
            number = self._next
            path = chunk_path(self._job, number)
            value = msgspec.json.encode(chunk)
            other = create(self._store, self._clock, path, value, WRITE_SECONDS)
            if self._next > number:
                continue  # A reader has loaded this chunk meanwhile.
            if other is None:
                self._take(chunk)
                added += chunk.results
                continue
            adopted = _decode(other)
            self._take(adopted)
            write(
                _LOGGER,
                events.ADOPTED,
                job=self._job,
                writer=adopted.writer,
                results=len(adopted.results),
            )

    def _make(self, results: list[Result]) -> Chunk:
        fresh = [each for each in results if each.id not in self.committed]
        return Chunk(self._writer, fresh)

    def _take(self, chunk: Chunk) -> None:
        """Take in the chunk that stands under the next number.

        A chunk in doubt was meant for that number, so it is settled: were it
        tried again, it would go under another one, and its items would be
        listed twice. An item that stands in two chunks all the same keeps its
        first place; every reader leaves out the same ones, as all of them
        read the same chunks in the same order.
        """
        self._next += 1
        self._uncertain = None
        for result in chunk.results:
            if result.id not in self.committed:
                self.committed.add(result.id)
                self.results.append(result)


def _decode(stored: StoredObject) -> Chunk:
    """Return a chunk; one that can not be read lists nothing.

    Its number is taken all the same, for every reader alike: results keep
    their positions, and what else was made is listed behind it.
    """
    try:
        return msgspec.json.decode(stored.value, type=Chunk)
    except msgspec.MsgspecError as error:
        _UNREADABLE.note(stored.path, str(error))
        return Chunk('', [])
