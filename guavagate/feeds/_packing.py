"""Copies of all that is followed, packed once for all who ask.

Load pattern: three hundred instances start at once, and each asks the relay for
a thousand registrations, a megabyte. Encoded for each of them these are three
hundred megabytes that wait for the relay's link, more than its process may use.
Registrations are much alike: packed they are a fraction, and the relay keeps
one packing until something changes.
"""

import zlib
from collections.abc import Sequence
from typing import Final

import msgspec

from guavagate.exceptions import LinkError
from guavagate.feeds._messages import FeedEntry

# The fastest; slower ones save little more of text that repeats so much.
LEVEL: Final = 1
# Of a copy when unpacked; a larger one is no copy of ours.
MOST_BYTES: Final = 256_000_000


def pack(entries: Sequence[FeedEntry]) -> bytes:
    """Return entries in few bytes."""
    return zlib.compress(msgspec.msgpack.encode(entries), LEVEL)


def unpack(packed: bytes) -> list[FeedEntry]:
    """Return packed entries.

    Raises
    ------
    LinkError
        It is no packing, or too large.
    """
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MOST_BYTES)
        if not unpacker.eof:
            raise LinkError(
                'a copy of the feed is cut off or too large',
                'nothing; another relay is asked',
            )
        return msgspec.msgpack.decode(content, type=list[FeedEntry])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise LinkError(
            f'a copy of the feed can not be read: {error}',
            'nothing; another relay is asked',
        ) from error
