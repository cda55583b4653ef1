"""Reads and conditionally replaces the record of one partition."""

import logging
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from guavagate.helpers.decoding import decode_msgpack
from guavagate.models import Epoch, InstanceId, PartitionId, Revision
from guavagate.partitions._blobs import Blob, BlobDeletedError, BlobStore
from guavagate.partitions._messages import Entry
from guavagate.partitions._record import (
    Record,
    decode_record,
    estimate_size,
    make_record_path,
)
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._state_machine import StateMachine
from guavagate.ports.store import ObjectStore, StoredObject

_LOGGER: Final = logging.getLogger(__name__)

# Every write of the record includes the tail. At fifty writes a second with a
# half-full tail this takes 13 Mbit/s of the store's 1,000. A larger tail
# becomes a segment.
MAX_TAIL_BYTES: Final = 64_000
# Minimum size of the entries between two snapshots. They must also be as large
# as the last snapshot, so that snapshots cost no more than entries.
MIN_SNAPSHOT_INTERVAL_BYTES: Final = 1_000_000
RETRY_SECONDS: Final = 0.1
_ABSENT: Final = Revision(0)


class SupersededError(Exception):
    """Another instance has replaced the record.

    `may_be_written` means that this instance's write may have taken effect
    before.
    """

    def __init__(self, holder: InstanceId, *, may_be_written: bool) -> None:
        super().__init__(f'{holder} holds the record')
        self.holder = holder
        self.may_be_written = may_be_written


class RecordWriter:
    """Reads a partition's record and replaces it.

    Parameters
    ----------
    make_id
        Returns a unique id.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        partition: PartitionId,
        me: InstanceId,
        make_id: Callable[[], str],
        safeguards: Safeguards,
    ) -> None:
        self._store = store
        self._clock = clock
        self._path = make_record_path(partition)
        self._blobs = BlobStore(store, clock, partition, make_id)
        self._me = me
        self._make_id = make_id
        self._safeguards = safeguards
        self._revision = _ABSENT
        self.record = Record()

    def take_over(self, machine: StateMachine) -> None:
        """Load the partition into a state machine and become its holder.

        Raises
        ------
        SupersededError
            Another instance changed the record meanwhile.
        StoreError
            The store does not answer, or the object is not a record.
        """
        stored = self._store.get(self._path)
        if stored is not None:
            self.record = decode_record(stored)
            self._revision = stored.version
        self._load_into(machine)
        record = msgspec.structs.replace(
            self.record,
            change=self._make_id(),
            holder=self._me,
            epoch=Epoch(self.record.epoch + 1),
        )
        # A write without a response may have succeeded; the next attempt reads
        # its result.
        self._write(record, may_be_written=False)
        # Only the holder adds blobs, and this instance is now the holder.
        self._clock.spawn(self._blobs.delete_unreferenced, record.list_blobs())

    def add(self, entries: Sequence[Entry], machine: StateMachine) -> None:
        """Add entries that the state machine has already applied.

        Returns once the store has accepted them. Raises `SupersededError`.
        """
        previous = self.record
        tail = (*previous.tail, *entries)
        if estimate_size(tail) <= MAX_TAIL_BYTES:
            self._replace(self._make_record(tail=tail))
            return
        content = msgspec.msgpack.encode(tail)
        bytes_since_snapshot = sum(
            each.size for each in previous.segments
        ) + len(content)
        snapshot_size = previous.snapshot.size if previous.snapshot else 0
        if bytes_since_snapshot <= max(
            MIN_SNAPSHOT_INTERVAL_BYTES, snapshot_size
        ):
            segments = (*previous.segments, self._blobs.put(content))
            self._replace(self._make_record(segments=segments, tail=()))
            return
        snapshot = self._blobs.put(machine.snapshot())
        self._replace(
            self._make_record(snapshot=snapshot, segments=(), tail=())
        )
        self._clock.spawn(self._blobs.delete, previous.list_blobs())

    def _make_record(self, **fields: object) -> Record:
        return msgspec.structs.replace(
            self.record, change=self._make_id(), **fields
        )

    def _replace(self, record: Record) -> None:
        """Retry the write until its result is known.

        Repeating the same conditional write can't take effect twice. On a
        conflict, the change id shows whether the earlier attempt succeeded.
        """
        may_be_written = False
        while True:
            try:
                self._write(record, may_be_written=may_be_written)
            except StoreUnavailableError as error:
                may_be_written = may_be_written or error.may_be_written
                if may_be_written and not self._safeguards.settle:
                    raise
                self._clock.sleep(RETRY_SECONDS)
            else:
                return

    def _write(self, record: Record, *, may_be_written: bool) -> None:
        raw = msgspec.json.encode(record)
        condition = self._revision if self._safeguards.conditional else None
        try:
            self._revision = self._store.put(self._path, raw, condition)
        except StoreConflictError as conflict:
            self._revision = self._resolve_conflict(
                conflict, record, may_be_written=may_be_written
            )
        self.record = record

    def _resolve_conflict(
        self,
        conflict: StoreConflictError,
        record: Record,
        *,
        may_be_written: bool,
    ) -> Revision:
        """Return the revision of our own write or raise `SupersededError`."""
        found = conflict.current or self._read_newer()
        if found is None:
            raise SupersededError(InstanceId(''), may_be_written=may_be_written)
        current = decode_record(found)
        if current.change == record.change:
            return found.version
        raise SupersededError(current.holder, may_be_written=may_be_written)

    def _read_newer(self) -> StoredObject | None:
        """Read the record that caused a conflict, ignoring stale reads.

        Returns `None` if the record has been deleted.
        """
        while True:
            try:
                found = self._store.get(self._path)
            except StoreUnavailableError as error:
                _LOGGER.debug(
                    'Reading %s failed, retrying: %s', self._path, error
                )
            else:
                if found is None or found.version > self._revision:
                    return found
            self._clock.sleep(RETRY_SECONDS)

    def _load_into(self, machine: StateMachine) -> None:
        """Load the state of the record into a state machine."""
        record = self.record
        try:
            self._blobs.load_all()
            if record.snapshot is not None:
                machine.restore(self._blobs.get(record.snapshot))
            for segment in record.segments:
                machine.apply_all(_decode_segment(self._blobs, segment))
            machine.apply_all(record.tail)
        except BlobDeletedError as error:
            raise SupersededError(
                record.holder, may_be_written=False
            ) from error
        except msgspec.MsgspecError as error:
            raise StoreError(
                f'the record {self._path} can not be read ({error})',
                'write back its earlier value; until then the keys of its'
                ' partition are refused',
            ) from error


def _decode_segment(blobs: BlobStore, segment: Blob) -> list[Entry]:
    return decode_msgpack(blobs.get(segment), list[Entry])
