"""Stores data too large for a partition's record in write-once objects."""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import partitions as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.store_writes import (
    MaybeWrittenError,
    NotWrittenError,
    create,
)
from guavagate.models import PartitionId
from guavagate.ports.store import ObjectStore

_LOGGER: Final = logging.getLogger(__name__)

# An object holds at most 1 MB, and base64 adds a third to the content.
PART_BYTES: Final = 600_000
RETRY_SECONDS: Final = 0.1
_CREATE_TIMEOUT_SECONDS: Final = 5.0


class BlobDeletedError(Exception):
    """A blob was deleted because a newer record no longer references it."""


class Blob(msgspec.Struct, frozen=True):
    """Bytes split into parts that each fit into one object.

    Every blob gets a new name, so a deleted blob is never written again.
    """

    name: str
    size: int

    def list_part_names(self) -> list[str]:
        """Return the names of the parts."""
        count = -(-self.size // PART_BYTES)
        return [f'{self.name}-{number:04}' for number in range(count)]


class BlobStore:
    """Writes, reads and deletes the blobs of one partition."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        partition: PartitionId,
        make_id: Callable[[], str],
    ) -> None:
        self._store = store
        self._clock = clock
        self._prefix = f'partition-blobs-{partition:05}'
        self._make_id = make_id
        self._loaded: dict[str, bytes] = {}

    def load_all(self) -> None:
        """Load all stored parts for `get`; one call for most partitions."""
        objects, _ = self._store.list_under(self._prefix)
        self._loaded = {
            each.path.rpartition('/')[2]: each.value for each in objects
        }

    def get(self, blob: Blob) -> bytes:
        """Return a loaded blob, or raise `BlobDeletedError`."""
        parts = [self._loaded.get(name) for name in blob.list_part_names()]
        if None in parts:
            raise BlobDeletedError(blob.name)
        return b''.join(
            decode_json(part, bytes) for part in parts if part is not None
        )

    def put(self, content: bytes) -> Blob:
        """Write a blob, retrying until the store accepts it."""
        blob = Blob(self._make_id(), len(content))
        for number, name in enumerate(blob.list_part_names()):
            start = number * PART_BYTES
            part = msgspec.json.encode(content[start : start + PART_BYTES])
            self._create(f'{self._prefix}/{name}', part)
        return blob

    def delete_unreferenced(self, referenced: Iterable[Blob]) -> None:
        """Delete loaded parts of unreferenced blobs and clear the cache.

        An instance that dies between writing a blob and writing the record
        leaves unreferenced parts.
        """
        retained = {
            name for blob in referenced for name in blob.list_part_names()
        }
        self._delete([name for name in self._loaded if name not in retained])
        self._loaded = {}

    def delete(self, blobs: Sequence[Blob]) -> None:
        """Delete blobs that the record no longer references."""
        self._delete(
            [name for blob in blobs for name in blob.list_part_names()]
        )

    def _create(self, path: str, value: bytes) -> None:
        while True:
            try:
                create(
                    self._store,
                    self._clock,
                    path,
                    value,
                    _CREATE_TIMEOUT_SECONDS,
                )
            except (NotWrittenError, MaybeWrittenError, StoreError) as error:
                _LOGGER.debug('Writing %s failed, retrying: %r', path, error)
                self._clock.sleep(RETRY_SECONDS)
            else:
                return

    def _delete(self, names: Sequence[str]) -> None:
        for name in names:
            path = f'{self._prefix}/{name}'
            try:
                self._store.delete(path, None)
            except StoreError as error:
                write(
                    _LOGGER,
                    events.BLOB_NOT_DELETED,
                    path=path,
                    problem=str(error),
                )
