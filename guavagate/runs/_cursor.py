"""The trainer's cursor: an opaque token that commits what was delivered.

It names the step, the groups delivered (a bitmap: 2,048 samples in groups of
8 are 32 bytes), the sequence number of the batch and the incarnation of the
run's state that issued it. Should the record be removed from the store, the
cursor alone still says what the trainer has.
"""

import base64
import binascii

import msgspec

from guavagate.exceptions import RefusalError


class Cursor(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The decoded form of a cursor."""

    incarnation: str = ''
    sequence: int = 0
    step_id: str = ''
    delivered: bytes = b''


START = Cursor()


def encode_cursor(cursor: Cursor) -> str:
    """Return the opaque token of a cursor; the start is empty."""
    if cursor == START:
        return ''
    packed = msgspec.msgpack.encode(cursor)
    return base64.urlsafe_b64encode(packed).decode()


def decode_cursor(token: str) -> Cursor:
    """Return the cursor of a token.

    Raises
    ------
    RefusalError
        The token is none that guavagate issued.
    """
    if not token:
        return START
    try:
        packed = base64.b64decode(token.encode(), altchars=b'-_', validate=True)
        return msgspec.msgpack.decode(packed, type=Cursor)
    except (binascii.Error, msgspec.MsgspecError, UnicodeError) as error:
        raise RefusalError(
            'the cursor is not one that guavagate issued',
            'present the cursor of the last batch unchanged, or none',
            reason='bad_cursor',
            status=400,
        ) from error


def has_group(delivered: bytes, index: int) -> bool:
    """Tell whether a bitmap holds a group."""
    byte = index // 8
    return byte < len(delivered) and bool(delivered[byte] >> (index % 8) & 1)


def add_groups(delivered: bytes, indexes: list[int], size: int) -> bytes:
    """Return the bitmap with groups added, for a step of `size` groups."""
    bitmap = bytearray(delivered.ljust((size + 7) // 8, b'\0'))
    for index in indexes:
        bitmap[index // 8] |= 1 << (index % 8)
    return bytes(bitmap)


def is_older(token: str, other: str) -> bool:
    """Tell whether a cursor was issued before another of its incarnation."""
    cursor = decode_cursor(token)
    than = decode_cursor(other)
    if cursor.incarnation != than.incarnation:
        return False
    return cursor.sequence < than.sequence
