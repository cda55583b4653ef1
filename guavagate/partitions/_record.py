"""A partition's record: the one object of the store that decides.

It holds the newest entries, and names the blobs with what was before. Who
wants to add entries replaces it under the condition that it is still the one
they know, so of two instances that both believe that they decide, one is
refused, reads the record and goes on from there or lets go. Neither leases
nor clocks matter.
"""

from collections.abc import Sequence
from typing import Final

import msgspec
import xxhash

from guavagate.const import DEFAULT_PARTITIONS
from guavagate.exceptions import StoreError
from guavagate.models import Epoch, InstanceId, PartitionId
from guavagate.partitions._blobs import Blob
from guavagate.partitions._messages import Entry
from guavagate.ports.store import StoredObject

PREFIX: Final = 'partitions'
_ENTRY_OVERHEAD_BYTES: Final = 120


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """What the store holds of a partition.

    Parameters
    ----------
    change
        Unique for each write; settles one whose answer was lost.
    epoch
        Rises with each change of holder.
    copy
        The whole state before the first segment; none at first.
    segments
        Entries since the copy, oldest first.
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
        """Return all blobs that belong to the record."""
        return (
            self.segments
            if self.snapshot is None
            else (
                self.snapshot,
                *self.segments,
            )
        )


def find_partition(key: str, count: int = DEFAULT_PARTITIONS) -> PartitionId:
    """Return the partition of a key."""
    return PartitionId(xxhash.xxh3_64_intdigest(key.encode()) % count)


def make_record_path(partition: PartitionId) -> str:
    """Return the object that holds a partition's record."""
    return f'{PREFIX}/{partition}'


def decode_record(stored: StoredObject) -> Record:
    """Read a record; one that others have written over raises."""
    try:
        return msgspec.json.decode(stored.value, type=Record)
    except msgspec.MsgspecError as error:
        raise StoreError(
            f'{stored.path} holds no record ({error})',
            'write back its earlier value; until then the keys of its '
            'partition are refused',
        ) from error


def estimate_size(entries: Sequence[Entry]) -> int:
    """Return about how many bytes entries take in the store."""
    return sum(
        len(each.payload) * 4 // 3 + _ENTRY_OVERHEAD_BYTES for each in entries
    )
