"""Tests of records, segments and snapshots in the store, without a fleet."""

import itertools
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from guavagate.clock import PausedClock
from guavagate.exceptions import StoreError
from guavagate.measure.fakes import MemoryStore, StoreState
from guavagate.measure.outcomes import Add, Counters
from guavagate.models import InstanceId, PartitionId
from guavagate.partitions import _record_writer as record_writer
from guavagate.partitions._blobs import PART_BYTES
from guavagate.partitions._messages import Entry
from guavagate.partitions._record_writer import RecordWriter, SupersededError
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._state_machine import StateMachine


class Bench:
    """A partition in a store, and instances that take it over."""

    def __init__(self) -> None:
        self.clock = PausedClock()
        self.state = StoreState(sleep=self.clock.sleep)
        self.store = MemoryStore(self.clock, self.state)
        self._ids = itertools.count()

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Run a blocking call in virtual time and return its result."""
        task = self.clock.spawn(function, *args)
        self.clock.run_until(task.ready, 60)
        self.clock.advance(1)
        return task.get(block=False)

    def take_over(self, name: str = 'a') -> tuple[RecordWriter, StateMachine]:
        """Take the partition over as an instance."""
        writer = RecordWriter(
            self.store,
            self.clock,
            PartitionId(7),
            InstanceId(name),
            lambda: f'id-{next(self._ids)}',
            Safeguards(),
        )
        machine = StateMachine({Add: Counters()})
        self.run(writer.take_over, machine)
        return writer, machine

    def add(
        self, writer: RecordWriter, machine: StateMachine, size: int = 0
    ) -> None:
        """Add one entry with a payload of about `size` bytes."""
        filler = 'x' * size
        command = Add(at=0, key=f'{next(self._ids)}{filler}')
        entry = Entry(f'c{next(self._ids)}', 'Add', _encode(command), 1.5)
        machine.apply(entry)
        self.run(writer.add, [entry], machine)

    def blobs(self) -> list[str]:
        """Return the paths of the blobs in the store."""
        return [
            path
            for path in self.state.objects
            if path.startswith('partition-blobs')
        ]


def _encode(command: Add) -> bytes:
    """Encode a command as the payload of an entry."""
    return msgspec.msgpack.encode(command)


def test_a_successor_reads_snapshot_segments_and_tail() -> None:
    """A successor restores a state that is too large for the record.

    Entries move from the tail into segments, and those into a snapshot of
    several parts. Together they give the state up to the last entry.
    """
    bench = Bench()
    writer, machine = bench.take_over()
    for _ in range(9):
        bench.add(writer, machine, 200_000)
    bench.add(writer, machine)
    assert writer.record.snapshot is not None
    assert writer.record.snapshot.size > PART_BYTES
    assert writer.record.segments
    assert writer.record.tail
    _, successor = bench.take_over('b')
    assert successor.snapshot() == machine.snapshot()


def test_unreferenced_blobs_are_deleted() -> None:
    """Blobs that the record no longer references are removed.

    A snapshot replaces the segments and the previous snapshot, and a killed
    writer leaves a blob behind. Objects in the store do not expire, so without
    deletion they would accumulate.
    """
    bench = Bench()
    writer, machine = bench.take_over()
    path = 'partition-blobs-00007/left-0000'
    bench.run(bench.store.put, path, b'""', 0)
    for _ in range(12):
        bench.add(writer, machine, 200_000)
    writer, _ = bench.take_over('b')
    referenced = [
        f'partition-blobs-00007/{name}'
        for blob in writer.record.list_blobs()
        for name in blob.list_part_names()
    ]
    assert sorted(bench.blobs()) == sorted(referenced)


def test_a_superseded_holder_is_refused() -> None:
    """Two instances act as holder; only the later one may add entries."""
    bench = Bench()
    first, machine = bench.take_over('a')
    second, other = bench.take_over('b')
    with pytest.raises(SupersededError):
        bench.add(first, machine)
    bench.add(second, other)
    assert second.record.epoch == 2


def test_a_lost_response_is_reconciled_by_the_change_id() -> None:
    """The store applies a write once even if its response is lost."""
    bench = Bench()
    writer, machine = bench.take_over()
    bench.state.lose_next = 1
    bench.add(writer, machine)
    _, successor = bench.take_over('b')
    assert successor.snapshot() == machine.snapshot()


def test_an_object_that_is_no_record_is_not_overwritten() -> None:
    """A record overwritten by someone else is refused with a remedy.

    Starting with an empty record would drop all keys and allow non-idempotent
    requests to run again.
    """
    bench = Bench()
    bench.run(bench.store.put, 'partitions/7', b'not a record', 0)
    with pytest.raises(StoreError, match='write back its earlier value'):
        bench.take_over()
    assert bench.state.objects['partitions/7'].value == b'not a record'


def test_snapshot_bytes_are_proportional_to_entries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A state grows by many small entries, as with the samples of a step.

    With a snapshot each time the record is full, every snapshot would contain
    all earlier data, and a step of 30 MB would write gigabytes. All blobs
    together must have less than six times the bytes of the entries.
    """
    monkeypatch.setattr(record_writer, 'MAX_TAIL_BYTES', 2_000)
    monkeypatch.setattr(record_writer, 'MIN_SNAPSHOT_INTERVAL_BYTES', 10_000)
    bench = Bench()
    writer, machine = bench.take_over()
    written = 0
    known: set[str] = set()
    for number in range(300):
        bench.add(writer, machine, 400 + number % 7)
        for path in set(bench.blobs()) - known:
            written += len(bench.state.objects[path].value)
            known.add(path)
    assert written < 6 * 300 * 420


def test_an_entry_of_a_later_release_is_not_skipped() -> None:
    """The record contains a command that only a newer release supports.

    Skipping it would give a different state, so an instance of the older
    release does not take over the partition.
    """
    bench = Bench()
    writer, machine = bench.take_over()
    entry = Entry('c1', 'AddTwice', b'', 1.5)
    bench.run(writer.add, [entry], machine)
    with pytest.raises(StoreError, match='run the release that wrote it'):
        bench.take_over('b')
