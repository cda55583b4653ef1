"""Streams without end, or in tiny parts, cost bounded processor time."""

import time
from typing import Final

import pytest

from guavagate.exceptions import UpstreamError
from guavagate.helpers.event_stream import MAX_BLANK_BLOCKS, EventParser

_VERSION_NAME: Final = b'weight-versions'
_EVENTS: Final = (b'id: 1\ndata: a', b'id: 2\ndata: b')


def _end(block: bytes) -> bytes:
    return b'%b\n\n' % block


@pytest.mark.parametrize('blank', [b'', b':', b': keep-alive'])
def test_blank_blocks_without_end_break_the_stream(blank: bytes) -> None:
    """Nothing else ends it: each one shows that the upstream lives."""
    parser = EventParser(0, _VERSION_NAME)
    blocks = _end(blank) * MAX_BLANK_BLOCKS
    for number, event in enumerate(_EVENTS, start=1):
        assert len(list(parser.feed(blocks + _end(event)))) == 1
        assert parser.last_number == number
    list(parser.feed(blocks))
    with pytest.raises(UpstreamError):
        list(parser.feed(_end(blank)))


def test_an_event_in_tiny_parts_takes_no_longer_than_a_whole_one() -> None:
    """All that had arrived was searched and copied again for each part.

    An event of half a megabyte in parts of four bytes took 42 seconds.
    """
    parser = EventParser(0, _VERSION_NAME)
    sent = _end(b'id: 1\ndata: %b' % (b'a' * 500_000))
    before = time.process_time()
    events = [
        event
        for at in range(0, len(sent), 4)
        for event in parser.feed(sent[at : at + 4])
    ]
    assert len(events) == 1
    assert time.process_time() - before < 2
