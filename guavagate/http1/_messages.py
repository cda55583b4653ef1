"""Request heads and headers, and the removal of hop-by-hop headers."""

from collections.abc import Iterable
from typing import Final, TypeAlias

import msgspec

Headers: TypeAlias = list[tuple[bytes, bytes]]

# RFC 9110, 7.6.1, and the body's length and expectation, which each
# connection sets anew.
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
_CONNECTION: Final = b'connection'


class Request(msgspec.Struct, frozen=True):
    """A request's head; the target is unchanged."""

    method: str
    target: str
    headers: Headers


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return the first value of a header, or an empty string.

    Parameters
    ----------
    name
        In lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value.decode('latin-1').strip()
    return ''


def drop_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the end-to-end headers, which are to be forwarded."""
    pairs = list(headers)
    named = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == _CONNECTION
        for name in value.split(b',')
    }
    dropped = _HOP_BY_HOP | named
    return [each for each in pairs if each[0].lower() not in dropped]
