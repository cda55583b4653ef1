"""A partition's record: the store object that defines its state.

The record contains the newest entries and references the blobs with all older
state. An instance adds entries by replacing the record on condition that it is
unchanged. If two instances both act as primary, the store refuses one of them;
that one rereads the record and takes over again or releases the partition.
Correctness depends on neither leases nor clocks.
"""

from collections.abc import Sequence
from typing import Final

import msgspec
import xxhash

from guavagate.const import DEFAULT_PARTITIONS
from guavagate.exceptions import StoreError
from guavagate.helpers.decoding import decode_json
from guavagate.models import Epoch, InstanceId, PartitionId
from guavagate.partitions._blobs import Blob
from guavagate.partitions._messages import Entry
from guavagate.ports.store import StoredObject

PREFIX: Final = 'partitions'
_ENTRY_OVERHEAD_BYTES: Final = 120


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """A partition as stored.

    Parameters
    ----------
    change
        Unique id of each write; identifies a write whose response was lost.
    epoch
        Increases with each change of holder.
    snapshot
        The complete state before the first segment; initially none.
    segments
        Entries since the snapshot, oldest first.
    tail
        Entries since the last segment.
    """

    change: str = ''
    holder: InstanceId = InstanceId('')
    epoch: Epoch = Epoch(0)
    snapshot: Blob | None = msgspec.field(default=None, name='copy')
    segments: tuple[Blob, ...] = ()
    tail: tuple[Entry, ...] = ()

    def list_blobs(self) -> tuple[Blob, ...]:
        """Return all blobs that the record references."""
        return (
            self.segments
            if self.snapshot is None
            else (
                self.snapshot,
                *self.segments,
            )
        )


def find_partition(key: str, count: int = DEFAULT_PARTITIONS) -> PartitionId:
    """Return the partition that a key belongs to."""
    return PartitionId(xxhash.xxh3_64_intdigest(key.encode()) % count)


def make_record_path(partition: PartitionId) -> str:
    """Return the path of the object with a partition's record."""
    return f'{PREFIX}/{partition}'


def decode_record(stored: StoredObject) -> Record:
    """Decode a record; raise `StoreError` if the object is not a record."""
    try:
        return decode_json(stored.value, Record)
    except msgspec.MsgspecError as error:
        raise StoreError(
            f'{stored.path} holds no record ({error})',
            'write back its earlier value; until then the keys of its '
            'partition are refused',
        ) from error


def estimate_size(entries: Sequence[Entry]) -> int:
    """Return the approximate size of entries in the store, in bytes."""
    return sum(
        len(each.payload) * 4 // 3 + _ENTRY_OVERHEAD_BYTES for each in entries
    )
