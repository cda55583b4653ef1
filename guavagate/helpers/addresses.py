"""Splits addresses that come from outside the process."""

import ipaddress
import re
from typing import Final

from guavagate.helpers.numbers import parse_whole_number

MAX_PORT: Final = 65_535
# Printable, in labels of the length that names may have (RFC 1035).
_HOST: Final = re.compile(
    r'(?=.{1,253}$)([!-\-/-~]{1,63}\.)*[!-\-/-~]{1,63}\.?'
)
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
    if not _HOST.fullmatch(host) or not port or port > MAX_PORT:
        raise ValueError(f'{text[:_SHOWN_CHARACTERS]!r} is no HOST:PORT')
    return host, port


def is_address(text: str) -> bool:
    """Return whether a text is `HOST:PORT`."""
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def require_ip_address(text: str) -> None:
    """Raise `ValueError` unless a text is an IP address with a port."""
    host, _ = split_address(text)
    if _SCOPE in host:
        raise ValueError(f'{host!r} is an address of one machine only')
    ipaddress.ip_address(host)
