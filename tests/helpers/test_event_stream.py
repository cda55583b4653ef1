"""Foreign bytes within an event stream never become a part of its text."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from guavagate.exceptions import ContradictoryStreamError, UpstreamError
from guavagate.helpers.event_stream import (
    MAX_EVENT_BYTES,
    MAX_FOREIGN_BLOCKS,
    EventParser,
)
from tests.helpers.foreign_blocks import FOREIGN_BLOCKS

_VERSION_NAME = b'weight-versions'
_COUNT = 6


def _make_event(number: int) -> bytes:
    version = b'weight-versions: 3\n' if number == 4 else b''
    return b'%bid: %d\ndata: e%d' % (version, number, number)


_EVENTS = [_make_event(number + 1) for number in range(_COUNT)]
_TEXTS = [f'e{number + 1}' for number in range(_COUNT)]


def _parse(
    sent: bytes, splits: tuple[int, ...] = (), resume_after: int = 0
) -> tuple[list[str], bool]:
    """Return the texts of the events, and whether the stream was complete."""
    parser = EventParser(resume_after, _VERSION_NAME)
    texts: list[str] = []
    begin = 0
    try:
        for end in (*sorted(splits), len(sent)):
            for event in parser.feed(sent[begin:end]):
                texts.append(event.text)
            begin = end
        parser.end()
    except UpstreamError:
        return texts, False
    return texts, True


def _join(blocks: list[bytes]) -> bytes:
    return b''.join(b'%b\n\n' % block for block in blocks)


def test_a_sound_stream_is_read_whole() -> None:
    """Each event comes out once, with its number, version and bytes."""
    parser = EventParser(0, _VERSION_NAME)
    events = list(parser.feed(_join(_EVENTS)))
    parser.end()
    assert [each.text for each in events] == _TEXTS
    assert [each.number for each in events] == [1, 2, 3, 4, 5, 6]
    assert [each.version for each in events] == [
        None,
        None,
        None,
        3,
        None,
        None,
    ]
    assert b''.join(each.encoded for each in events) == _join(_EVENTS)


@pytest.mark.parametrize('block', FOREIGN_BLOCKS.values(), ids=FOREIGN_BLOCKS)
def test_a_foreign_block_between_events_is_left_out(block: bytes) -> None:
    """It took the number of the next event, which was then refused."""
    sent = _join([*_EVENTS[:3], block, *_EVENTS[3:]])
    assert _parse(sent) == (_TEXTS, True)


@pytest.mark.parametrize('block', FOREIGN_BLOCKS.values(), ids=FOREIGN_BLOCKS)
def test_a_foreign_block_in_the_place_of_an_event_breaks_the_stream(
    block: bytes,
) -> None:
    """The event that it replaced must not be missing from a complete text."""
    texts, complete = _parse(_join([*_EVENTS[:3], block, *_EVENTS[4:]]))
    assert (texts, complete) == (_TEXTS[:3], False)


@pytest.mark.parametrize('number', range(1, _COUNT + 1))
def test_foreign_bytes_joined_to_an_event_never_spoil_a_complete_text(
    number: int,
) -> None:
    """The damaged event is missing, and after the last one none shows it."""
    damaged = b'\x07k2:%b' % _EVENTS[number - 1]
    sent = _join([*_EVENTS[: number - 1], damaged, *_EVENTS[number:]])
    assert _parse(sent) == (_TEXTS[: number - 1], False)


def test_a_version_after_foreign_bytes_is_not_lost() -> None:
    """The following events would be attributed to the version before."""
    damaged = b':k2%b' % _EVENTS[3]
    assert b'weight-versions' in damaged
    sent = _join([*_EVENTS[:3], damaged, *_EVENTS[4:]])
    assert _parse(sent) == (_TEXTS[:3], False)


def test_an_event_with_a_later_number_is_missing_from_the_stream() -> None:
    """The upstream has made it, so the text is not whole without it."""
    later = b'weight-versions: 9\nid: 9\ndata: other'
    sent = _join([*_EVENTS[:3], later, *_EVENTS[3:]])
    assert _parse(sent) == (_TEXTS, False)


def test_a_foreign_block_after_the_last_event_is_not_believed() -> None:
    """It may have been an event; asking for what follows shows it."""
    assert _parse(_join([*_EVENTS, b'id: 7'])) == (_TEXTS, False)


def test_keep_alive_comments_and_blank_blocks_change_nothing() -> None:
    """An upstream may send them between events and at the end."""
    blocks = [*_EVENTS[:3], b': wait', b'', b'\n', *_EVENTS[3:], b': end']
    assert _parse(b'%b\n' % _join(blocks)) == (_TEXTS, True)


def test_fields_of_event_streams_without_text_belong_to_the_event() -> None:
    """They are common, and so is the number behind the data."""
    sent = (
        b'event: token\ndata: a\ndata: b\nid: 1\n\nid: 2\nretry: 5\ndata:\n\n'
    )
    assert _parse(sent) == (['a\nb', ''], True)


def test_an_event_that_comes_twice_counts_once() -> None:
    """The upstream sent the same bytes again."""
    sent = _join([*_EVENTS[:3], _EVENTS[2], *_EVENTS[3:]])
    assert _parse(sent) == (_TEXTS, True)


def test_an_event_with_two_contents_is_reported() -> None:
    """Nothing tells which of the two is true."""
    parser = EventParser(0, _VERSION_NAME)
    with pytest.raises(ContradictoryStreamError):
        list(parser.feed(_join([*_EVENTS[:3], b'id: 3\ndata: x'])))


def test_foreign_blocks_without_end_break_the_stream() -> None:
    """They would hold a slot and a caller for ever."""
    parser = EventParser(0, _VERSION_NAME)
    blocks = _join([b'k2'] * MAX_FOREIGN_BLOCKS)
    assert not list(parser.feed(_join(_EVENTS[:1]) + blocks))[1:]
    with pytest.raises(UpstreamError):
        list(parser.feed(_join([b'k2'])))


def test_an_event_without_end_breaks_the_stream() -> None:
    """It would fill the memory."""
    parser = EventParser(0, _VERSION_NAME)
    with pytest.raises(UpstreamError):
        list(parser.feed(b'id: 1\ndata: %b' % (b'a' * MAX_EVENT_BYTES)))


def test_a_resumed_stream_begins_with_the_next_event() -> None:
    """An upstream that starts over would repeat what is known."""
    assert _parse(_join(_EVENTS[3:]), resume_after=3) == (_TEXTS[3:], True)
    assert _parse(_join(_EVENTS), resume_after=3) == ([], False)


_FOREIGN = st.one_of(
    st.sampled_from(list(FOREIGN_BLOCKS.values())),
    st.binary(max_size=20),
    st.sampled_from([b'data', b': id: 3', b'\n', b'event: x\n', b'']),
)


@settings(max_examples=500, deadline=None)
@given(
    blocks=st.lists(st.one_of(st.none(), _FOREIGN), max_size=14),
    unended=st.sets(st.integers(0, 13), max_size=3),
    splits=st.lists(st.integers(0, 400), max_size=6),
    cut=st.integers(0, 5),
)
@example(blocks=[b'k', None, None], unended={0}, splits=[], cut=0)
@example(blocks=[None, b'id: 2'], unended={1}, splits=[9], cut=0)
def test_events_that_come_out_are_a_prefix_of_those_that_were_made(
    blocks: list[bytes | None],
    unended: set[int],
    splits: list[int],
    cut: int,
) -> None:
    """Whatever stands between the events, joined to the next one or not.

    A text is complete only with all events that the upstream has sent; `None`
    is the next one.
    """
    made = iter(_EVENTS)
    sent = b''
    count = 0
    for place, block in enumerate(blocks):
        event = next(made, b'') if block is None else b''
        count += bool(event)
        is_unended = block is not None and place in unended
        sent += (block or event) + (b'' if is_unended else b'\n\n')
    sent = sent[: len(sent) - cut]
    texts, complete = _parse(sent, tuple(splits))
    assert texts == _TEXTS[: len(texts)]
    if complete:
        assert len(texts) == count


@settings(max_examples=200, deadline=None)
@given(order=st.lists(st.integers(0, _COUNT - 1), max_size=12))
def test_events_in_any_order_come_out_in_the_right_one(
    order: list[int],
) -> None:
    """Some are left out, sent again or exchanged."""
    texts, complete = _parse(_join([_EVENTS[number] for number in order]))
    assert texts == _TEXTS[: len(texts)]
    if complete:
        assert set(order) == set(range(len(texts)))
