"""Copies of the feed for a fleet that starts at once."""

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
        """Take it as it is."""

    table.set_handlers('servers', put, lambda name: None)
    for number in range(upstreams):
        _take(table, number, 1)
    return table


def _find_path(number: int) -> str:
    return f'servers/i-{random.Random(number).getrandbits(40):010x}'


def _take(table: FeedTable, number: int, version: int) -> None:
    drawn = random.Random(number)
    address = (drawn.randrange(256), drawn.randrange(256))
    table.apply(
        FeedEntry(
            path=_find_path(number),
            version=Revision(version),
            value=_REGISTRATION % (*address, version),
        )
    )


def test_a_start_of_all_fits_into_a_relays_memory() -> None:
    """Three hundred instances ask for 730 registrations at once.

    A relay has 32 MB for control; what waits for its link has to fit in.
    """
    table = _make_table(730)
    replies = [table.pack_entries() for _ in range(300)]
    assert sum(map(len, replies)) < 32_000_000
    assert len({id(each) for each in replies}) == 1


def test_a_copy_is_what_the_relay_holds() -> None:
    """Nothing is lost on the way, and a change is in the next copy."""
    table = _make_table(3)
    assert unpack(table.pack_entries()) == table.entries()
    _take(table, 1, 2)
    assert unpack(table.pack_entries()) == table.entries()
    table.remove(_find_path(2))
    assert unpack(table.pack_entries()) == table.entries()
    assert len(table.entries()) == 2


@pytest.mark.parametrize('broken', [b'x', b'', b'\x78\x01'])
def test_what_is_no_copy_drops_nothing(broken: bytes) -> None:
    """It raises; taken for an empty copy it would remove all upstreams."""
    with pytest.raises(LinkError):
        unpack(broken)


def test_a_copy_that_was_cut_off_is_none() -> None:
    """Half of the bytes have come."""
    packed = pack(_make_table(50).entries())
    with pytest.raises(LinkError):
        unpack(packed[: len(packed) // 2])


def test_releases_that_know_no_packing_get_plain_entries() -> None:
    """An older one asks without the word, and one answers with entries."""
    assert not ReadFeed().packed
    copy = FeedCopy(boot=1, number=1, age=0, revision=Revision(1))
    assert (copy.entries, copy.packed) == ([], b'')
