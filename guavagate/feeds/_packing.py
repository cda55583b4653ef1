"""Compresses snapshots of the followed objects.

Load pattern: three hundred instances start at once, and each requests a
thousand registrations, a megabyte, from the relay. Encoded for each instance
these are three hundred megabytes of pending output, more than the relay's
process may use. Registrations are similar and compress to a fraction, and the
relay caches one compressed snapshot until an object changes.
"""

import zlib
from collections.abc import Sequence
from typing import Final

import msgspec

from guavagate.exceptions import LinkError
from guavagate.feeds._messages import FeedEntry
from guavagate.helpers.decoding import decode_msgpack

# The fastest level; slower ones save little more on such repetitive text.
COMPRESSION_LEVEL: Final = 1
# Limit for an unpacked snapshot; those of a thousand registrations take a
# megabyte. A faulty relay's must not fill the memory of a small instance.
MAX_UNPACKED_BYTES: Final = 32_000_000


def pack(entries: Sequence[FeedEntry]) -> bytes:
    """Return entries compressed."""
    return zlib.compress(msgspec.msgpack.encode(entries), COMPRESSION_LEVEL)


def unpack(packed: bytes) -> list[FeedEntry]:
    """Return the entries of a compressed snapshot.

    Raises
    ------
    LinkError
        The data is invalid, truncated or too large.
    """
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
        if not unpacker.eof:
            raise LinkError(
                'a snapshot of the feed is truncated or too large',
                'no action needed; another relay is tried',
            )
        return decode_msgpack(content, list[FeedEntry])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise LinkError(
            f'a snapshot of the feed cannot be decoded: {error}',
            'no action needed; another relay is tried',
        ) from error
