"""The trainer's cursor: an opaque token that commits delivered groups.

It contains the step, a bitmap of the delivered groups (32 bytes for 2,048
samples in groups of 8), the sequence number of the batch and the incarnation
of the run's state that issued it. If the record is removed from the store, the
cursor alone still shows what the trainer has received.
"""

import base64
import binascii

import msgspec

from guavagate.exceptions import RefusalError
from guavagate.helpers.decoding import decode_msgpack


class Cursor(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The decoded form of a cursor."""

    incarnation: str = ''
    sequence: int = 0
    step_id: str = ''
    delivered: bytes = b''


START_CURSOR = Cursor()


def encode_cursor(cursor: Cursor) -> str:
    """Return the opaque token of a cursor; the start cursor's is empty."""
    if cursor == START_CURSOR:
        return ''
    packed = msgspec.msgpack.encode(cursor)
    return base64.urlsafe_b64encode(packed).decode()


def decode_cursor(token: str) -> Cursor:
    """Return the cursor of a token.

    Raises
    ------
    RefusalError
        The token was not issued by guavagate.
    """
    if not token:
        return START_CURSOR
    try:
        packed = base64.b64decode(token.encode(), altchars=b'-_', validate=True)
        return decode_msgpack(packed, Cursor)
    except (binascii.Error, msgspec.MsgspecError, UnicodeError) as error:
        raise RefusalError(
            'the cursor is not one that guavagate issued',
            'present the cursor of the last batch unchanged, or none',
            reason='bad_cursor',
            status=400,
        ) from error


def has_group(delivered: bytes, index: int) -> bool:
    """Return whether a bitmap contains a group."""
    byte = index // 8
    return byte < len(delivered) and bool(delivered[byte] >> (index % 8) & 1)


def add_groups(delivered: bytes, indexes: list[int], size: int) -> bytes:
    """Return the bitmap with groups added, for a step of `size` groups."""
    bitmap = bytearray(delivered.ljust((size + 7) // 8, b'\0'))
    for index in indexes:
        bitmap[index // 8] |= 1 << (index % 8)
    return bytes(bitmap)


def is_older(token: str, other: str) -> bool:
    """Return whether a cursor precedes another of the same incarnation."""
    cursor = decode_cursor(token)
    other_cursor = decode_cursor(other)
    if cursor.incarnation != other_cursor.incarnation:
        return False
    return cursor.sequence < other_cursor.sequence
