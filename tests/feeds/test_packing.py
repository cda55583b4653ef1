"""Tests of compressed snapshots for a fleet that starts at once."""

import random

import pytest

from guavagate.exceptions import LinkError
from guavagate.feeds._messages import FeedCopy, FeedEntry, ReadFeed
from guavagate.feeds._packing import pack, unpack
from guavagate.feeds._table import FeedTable
from guavagate.models import Revision
from guavagate.ports.store import StoredObject

_REGISTRATION = (
    b'{"service":"llm","address":"10.1.%d.%d:8381","zone":"hall-1",'
    b'"version":"r1","slots":12,"state":"ready","models":[{"name":"m0",'
    b'"version":%d,"adapters":[]}],"cold-remaining-ms":0,"born":1772216459}'
)


def _make_table(upstreams: int) -> FeedTable:
    table = FeedTable()

    def put(stored: StoredObject) -> None:
        """Accept any object."""

    table.register_handlers('servers', put, lambda name: None)
    for number in range(upstreams):
        _apply(table, number, 1)
    return table


def _make_path(number: int) -> str:
    return f'servers/i-{random.Random(number).getrandbits(40):010x}'


def _apply(table: FeedTable, number: int, version: int) -> None:
    generator = random.Random(number)
    address = (generator.randrange(256), generator.randrange(256))
    table.apply(
        FeedEntry(
            path=_make_path(number),
            version=Revision(version),
            value=_REGISTRATION % (*address, version),
        )
    )


def test_snapshots_for_all_fit_into_a_relays_memory() -> None:
    """Three hundred instances request 730 registrations at once.

    A relay has 32 MB for control, and its pending output has to fit into that.
    """
    table = _make_table(730)
    replies = [table.pack_entries() for _ in range(300)]
    assert sum(map(len, replies)) < 32_000_000
    assert len({id(each) for each in replies}) == 1


def test_a_snapshot_has_all_objects_of_the_relay() -> None:
    """A snapshot contains each object, and the next one contains a change."""
    table = _make_table(3)
    assert unpack(table.pack_entries()) == table.entries()
    _apply(table, 1, 2)
    assert unpack(table.pack_entries()) == table.entries()
    table.remove(_make_path(2))
    assert unpack(table.pack_entries()) == table.entries()
    assert len(table.entries()) == 2


@pytest.mark.parametrize('broken', [b'x', b'', b'\x78\x01'])
def test_an_invalid_snapshot_raises(broken: bytes) -> None:
    """Read as an empty snapshot it would remove all upstreams."""
    with pytest.raises(LinkError):
        unpack(broken)


def test_a_truncated_snapshot_raises() -> None:
    """Only half of the bytes have arrived."""
    packed = pack(_make_table(50).entries())
    with pytest.raises(LinkError):
        unpack(packed[: len(packed) // 2])


def test_releases_without_packing_get_plain_entries() -> None:
    """Older releases send requests without `packed` and reply with entries."""
    assert not ReadFeed().packed
    copy = FeedCopy(boot=1, number=1, age=0, revision=Revision(1))
    assert (copy.entries, copy.packed) == ([], b'')


def test_a_snapshot_that_would_fill_the_memory_is_refused() -> None:
    """A thousandth of its size arrives, and 128 MB are all of some machines."""
    path = _make_path(1)
    entry = FeedEntry(path=path, version=Revision(1), value=bytes(33_000_000))
    packed = pack([entry])
    assert len(packed) < 1_000_000
    with pytest.raises(LinkError, match='too large'):
        unpack(packed)
