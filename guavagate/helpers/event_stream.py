"""Splits the event stream of an upstream into its events.

A faulty upstream may send other bytes within a stream, also such that look like
a part of an event. `EventParser` is the only place that tells the two apart.
"""

import logging
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import ContradictoryStreamError, UpstreamError
from guavagate.helpers.numbers import parse_whole_number
from guavagate.http1 import Answer
from guavagate.models import UpstreamId, WeightVersion
from guavagate.ports.sampler import TextEvent

_LOGGER: Final = logging.getLogger(__name__)
_BLOCK_END: Final = b'\n\n'
_COMMENT: Final = b':'
_ID: Final = 'id'
_DATA: Final = 'data'
# Fields of text/event-stream that belong to an event and contain no text.
_OTHER_FIELDS: Final = frozenset(('event', 'retry'))
# A faulty upstream may send bytes without end. A text has a few kilobytes, and
# one event some hundred bytes.
MAX_EVENT_BYTES: Final = 1_000_000
MAX_STREAM_BYTES: Final = 16_000_000
# In a row. An upstream that sends more of them is not about to go on.
MAX_FOREIGN_BLOCKS: Final = 4
# In a row: empty ones, and comments such as keep-alives, which carry nothing.
MAX_BLANK_BLOCKS: Final = 10_000
_LOGGED_BYTES: Final = 60

HandleForeignBlock = Callable[[bytes], None]


class StreamEvent(msgspec.Struct, frozen=True):
    """An event of a stream.

    `version` is the weight version that the event names, if it names one, and
    `encoded` the event as the upstream sent it, with its end.
    """

    number: int
    text: str
    version: WeightVersion | None
    encoded: bytes


class EventParser:
    """Yields the events of one stream, and leaves out all other blocks.

    Events are numbered without gaps, so a block that isn't the next event
    belongs to no request, or was an event before it was damaged. In the second
    case the number of the following event shows that one is missing, or the
    stream ends without any following event. Leaving the block out is therefore
    safe: the events that are returned are a prefix of those that the upstream
    made, and `end` raises an error if they may not be all of them.

    Parameters
    ----------
    resume_after
        Number of the last event of the stream that is known already.
    version_name
        Name of the line that contains the weight version, in lower case. It
        comes first in its event.
    on_foreign_block
        Is called with the first block that is left out.

    Attributes
    ----------
    last_number
        Number of the last event returned, or `resume_after` before the first.
    """

    def __init__(
        self,
        resume_after: int,
        version_name: bytes,
        on_foreign_block: HandleForeignBlock | None = None,
    ) -> None:
        self.last_number = resume_after
        self._version_name = version_name.decode()
        self._on_foreign_block = on_foreign_block
        self._rest = bytearray()
        self._last_block = b''
        self._foreign_blocks = 0
        self._blank_blocks = 0
        # The highest number that any event had, also one that was left out.
        self._highest_number = resume_after

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that are complete with this chunk.

        Raises
        ------
        UpstreamError
            The next block is larger than any event, or too many blocks in a row
            were no events or blank.
        ContradictoryStreamError
            An event has come before with other content.
        """
        for block in self._split_blocks(chunk):
            event = self._take(block.lstrip(b'\n'))
            if event is not None:
                yield event
        if len(self._rest) > MAX_EVENT_BYTES:
            raise _make_error('the upstream sent an event without end')

    def end(self) -> None:
        """Raise `UpstreamError` unless the stream has ended with an event."""
        if self._rest.strip(b'\n'):
            raise _make_error('the stream ended in the middle of an event')
        if self._highest_number > self.last_number:
            raise _make_error('an event is missing from the stream')
        if self._foreign_blocks:
            raise _make_error('the stream ended with bytes that are no event')

    def _split_blocks(self, chunk: bytes) -> list[bytes]:
        """Return the blocks that are complete with this chunk.

        Only the chunk is searched: an event that arrives in tiny parts would
        else be searched once for each of them.
        """
        searched = max(len(self._rest) - len(_BLOCK_END) + 1, 0)
        self._rest += chunk
        if self._rest.find(_BLOCK_END, searched) < 0:
            return []
        *blocks, rest = bytes(self._rest).split(_BLOCK_END)
        self._rest = bytearray(rest)
        return blocks

    def _take(self, block: bytes) -> StreamEvent | None:
        if is_blank(block):
            self._blank_blocks += 1
            if self._blank_blocks > MAX_BLANK_BLOCKS:
                raise _make_error('the upstream sent nothing but blank blocks')
            return None
        event = self._parse(block)
        if event is not None:
            self._highest_number = max(self._highest_number, event.number)
            if event.number == self.last_number + 1:
                self.last_number = event.number
                self._last_block = block
                self._foreign_blocks = 0
                self._blank_blocks = 0
                return event
            if event.number <= self.last_number and block != self._last_block:
                raise ContradictoryStreamError(
                    'an event came twice with different content',
                    'check the upstream; its events can not be told apart',
                )
        self._foreign_blocks += 1
        if self._on_foreign_block is not None:
            self._on_foreign_block(block)
            self._on_foreign_block = None
        if self._foreign_blocks > MAX_FOREIGN_BLOCKS:
            raise _make_error('the upstream sent bytes that are no event')
        return None

    def _parse(self, block: bytes) -> StreamEvent | None:
        """Return the event that a block is, whatever its number, or `None`.

        Any line that no event has makes the block foreign. Foreign bytes before
        an event become a part of its first line, so that leaving out just this
        line would lose a change of the version.
        """
        try:
            fields = [_split_field(line) for line in block.decode().split('\n')]
        except UnicodeDecodeError:
            return None
        version: int | None = None
        if fields[0][0] == self._version_name:
            version = parse_whole_number(fields.pop(0)[1])
            if version is None:
                return None
        fields = [each for each in fields if each[0] not in _OTHER_FIELDS]
        if fields and fields[0][0] == _DATA:
            # The number may also follow the data.
            fields = [fields[-1], *fields[:-1]]
        names = [name for name, _ in fields]
        if names[:1] != [_ID] or set(names[1:]) != {_DATA}:
            return None
        number = parse_whole_number(fields[0][1])
        if number is None:
            return None
        return StreamEvent(
            number,
            '\n'.join(data for _, data in fields[1:]),
            None if version is None else WeightVersion(version),
            block + _BLOCK_END,
        )


class EventStream:
    """Implements `ports.sampler.ItemRun` over a sampler's answer.

    Parameters
    ----------
    version_name
        Name of the header and of the event line that contain the weight
        version; in lower case.

    Raises
    ------
    UpstreamError
        The answer names no version; no text of it could be attributed.
    """

    def __init__(
        self,
        answer: Answer,
        resume_after: int,
        version_name: bytes,
        on_foreign_block: HandleForeignBlock | None = None,
    ) -> None:
        self._answer = answer
        self._parser = EventParser(resume_after, version_name, on_foreign_block)
        header = answer.get_header(version_name).split(',')[-1].strip()
        version = parse_whole_number(header)
        if version is None:
            self.cancel()
            raise _make_error('the sampler names no weight version')
        self._version = WeightVersion(version)

    def events(self) -> Iterator[TextEvent]:
        """Yield complete events; raise if more may be missing at the end."""
        try:
            yield from self._read_events()
        except UpstreamError:
            self.cancel()
            raise

    def _read_events(self) -> Iterator[TextEvent]:
        size = 0
        for chunk in self._answer.chunks():
            size += len(chunk)
            if size > MAX_STREAM_BYTES:
                raise _make_error('the stream is longer than any text')
            for event in self._parser.feed(chunk):
                self._answer.count_work()
                if event.version is not None:
                    self._version = event.version
                yield TextEvent(event.number, event.text, self._version)
        self._parser.end()

    def cancel(self) -> None:
        """Close the stream; the sampler then drops the work."""
        self._answer.close()


def make_foreign_block_logger(
    request_id: str, upstream: UpstreamId
) -> HandleForeignBlock:
    """Return a function that logs a block which an upstream sent."""

    def log_foreign_block(block: bytes) -> None:
        write(
            _LOGGER,
            events.FOREIGN_BYTES,
            request=request_id,
            upstream=upstream,
            size=len(block),
            start=repr(block[:_LOGGED_BYTES]),
        )

    return log_foreign_block


def is_blank(block: bytes) -> bool:
    """Return whether a block has no line but comments, as keep-alives have."""
    lines = block.split(b'\n')
    return all(not line or line.startswith(_COMMENT) for line in lines)


def _split_field(line: str) -> tuple[str, str]:
    name, _, value = line.partition(':')
    return name, value.removeprefix(' ')


def _make_error(problem: str) -> UpstreamError:
    return UpstreamError(
        problem, 'check the upstream; the text goes on elsewhere if it may'
    )
