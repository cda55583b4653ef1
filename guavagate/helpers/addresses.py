"""Splits addresses that come from outside the process."""

import ipaddress
from typing import Final

from guavagate.helpers.numbers import parse_whole_number

MAX_PORT: Final = 65_535
# IPv6 addresses may name a scope of the machine that wrote them.
_SCOPE: Final = '%'
_SHOWN_CHARACTERS: Final = 40


def split_address(text: str) -> tuple[str, int]:
    """Return the host and port of `HOST:PORT`.

    Sockets raise errors of several types for a port out of range or a host
    with odd characters, and some take the port modulo 65,536.

    Raises
    ------
    ValueError
        The text is no address.
    """
    host, _, digits = text.rpartition(':')
    port = parse_whole_number(digits, len(str(MAX_PORT)))
    is_host = host.isascii() and host.isprintable() and ' ' not in host
    if not host or not is_host or not port or port > MAX_PORT:
        raise ValueError(f'{text[:_SHOWN_CHARACTERS]!r} is no HOST:PORT')
    return host, port


def require_ip_address(text: str) -> None:
    """Raise `ValueError` unless a text is an IP address with a port."""
    host, _ = split_address(text)
    if _SCOPE in host:
        raise ValueError(f'{host!r} is an address of one machine only')
    ipaddress.ip_address(host)
