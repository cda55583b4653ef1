"""Decides what is the head of an answer, for every client of this project.

A faulty upstream may send anything in its place. Parsers differ in what they
accept: a status that HTTP doesn't have, or a line that begins with a blank,
which one of them takes for a part of the line before. If that line is a
`Content-Length`, the body ends elsewhere than the upstream meant. So the bytes
are checked here before any parser gets them, and a head is either what
RFC 9112 has or no answer at all.
"""

import re
from typing import Final

# A head of an upstream has some hundred bytes.
MAX_HEAD_BYTES: Final = 65_536
# An upstream may send interim answers without end before the final one.
MAX_INTERIM_ANSWERS: Final = 16
# A line may end without CR, as RFC 9112 (2.2) allows.
_HEAD_END: Final = re.compile(rb'\r?\n\r?\n')
_MAX_END_BYTES: Final = 4
_LINE_END: Final = re.compile(rb'\r?\n')
_STATUS_LINE: Final = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?'
)
# No control byte but the tab, neither in a name nor in a value. A name that a
# blank precedes continues the line before (RFC 9112, 5.2), which a proxy must
# not pass on.
_FIELD: Final = re.compile(
    rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)"
)
_FIRST_FINAL_STATUS: Final = 200
_SHOWN_BYTES: Final = 60


class MalformedHeadError(Exception):
    """The bytes in the place of a head are none; the message says why."""


class HeadChecker:
    """Checks the heads of one answer, interim ones too, as they arrive.

    Attributes
    ----------
    is_complete
        Whether the final head was found valid; what follows is the body.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._received = bytearray()
        self._interim_answers = 0

    def feed(self, data: bytes) -> None:
        """Check what has arrived next; ignore what follows the final head.

        Raises
        ------
        MalformedHeadError
            A head is not valid, larger than any, or only interim ones come.
        """
        if self.is_complete:
            return
        searched = max(len(self._received) - _MAX_END_BYTES + 1, 0)
        self._received += data
        while not self.is_complete:
            end = _HEAD_END.search(self._received, searched)
            if end is None:
                break
            searched = 0
            head = bytes(self._received[: end.start()])
            del self._received[: end.end()]
            self._take(head)
        if self.is_complete:
            self._received.clear()
        elif len(self._received) > MAX_HEAD_BYTES:
            raise MalformedHeadError('sent a head without end')

    def _take(self, head: bytes) -> None:
        if _check_head(head) >= _FIRST_FINAL_STATUS:
            self.is_complete = True
            return
        self._interim_answers += 1
        if self._interim_answers >= MAX_INTERIM_ANSWERS:
            raise MalformedHeadError('sent one interim answer after the other')


def _check_head(head: bytes) -> int:
    """Return the status of a head, without its end."""
    start, *lines = _LINE_END.split(head)
    status_line = _STATUS_LINE.fullmatch(start)
    if status_line is None:
        raise MalformedHeadError(
            f'sent no status line: {start[:_SHOWN_BYTES]!r}'
        )
    fields = [_split_field(line) for line in lines]
    version, status = status_line.groups()
    _check_framing(fields, is_chunkable=version != b'0')
    return int(status)


def _split_field(line: bytes) -> tuple[bytes, bytes]:
    """Return the name of a field, in lower case, and its value."""
    field = _FIELD.fullmatch(line)
    if field is None:
        raise MalformedHeadError(f'sent no field: {line[:_SHOWN_BYTES]!r}')
    name, value = field.groups()
    return name.lower(), value.strip()


def _check_framing(
    fields: list[tuple[bytes, bytes]], *, is_chunkable: bool
) -> None:
    """Refuse a body whose end is not plain (RFC 9112, 6.1 and 6.3).

    A `Content-Length` is left to the parser, which refuses unequal ones.
    """
    codings = [value for name, value in fields if name == b'transfer-encoding']
    if not codings:
        return
    if not is_chunkable or [each.lower() for each in codings] != [b'chunked']:
        raise MalformedHeadError('coded its body otherwise than in chunks')
    if any(name == b'content-length' for name, _ in fields):
        raise MalformedHeadError('stated a length for a body in chunks')
