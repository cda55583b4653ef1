"""Kinds of text values in settings, such as durations and addresses."""

import enum
import ipaddress
import re
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.exceptions import SettingsError
from guavagate.helpers.numbers import parse_whole_number
from guavagate.util.units import parse_duration

_ID_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_TOKEN_HASH_PATTERN: Final = re.compile('sha256:[0-9a-f]{64}')
_MAX_PORT: Final = 65535
# TOML allows infinity; no number in the settings is useful beyond this.
_MAX_NUMBER: Final = 1_000_000


class ValueKind(enum.StrEnum):
    """The kinds of text values in settings."""

    ID = 'id'
    DURATION = 'duration'
    ADDRESS = 'host:port'
    IP_ADDRESS = 'ip:port'
    URL = 'URL'
    TOKEN_HASH = 'token hash'


def describe(
    text: str,
    kind: ValueKind | None = None,
    *,
    above: float | None = None,
    least: float | None = None,
) -> msgspec.Meta:
    """Return the annotation of one settings field.

    Parameters
    ----------
    text
        Description of the field for docs/settings.md.
    kind
        Kind of a text value.
    above, least
        Exclusive and inclusive lower bound of a number.
    """
    if above is not None:
        return msgspec.Meta(description=text, gt=above, le=_MAX_NUMBER)
    if least is not None:
        return msgspec.Meta(description=text, ge=least, le=_MAX_NUMBER)
    extra = {'kind': kind} if kind else None
    return msgspec.Meta(description=text, extra=extra)


def check_kind(kind: ValueKind, text: str) -> None:
    """Check that a text is of a kind.

    Raises
    ------
    SettingsError
        The text is not; the remedy shows an example.
    """
    _CHECKS[kind](text)


def _check_id(text: str) -> None:
    if not _ID_PATTERN.fullmatch(text):
        raise SettingsError(
            f'{text!r} is not an id',
            'use 1 to 64 letters, digits, dots, dashes or underscores,'
            ' a letter or digit first',
        )


def _check_address(text: str) -> None:
    host, _, port = text.rpartition(':')
    if not host or '/' in host or not _is_port(port):
        raise SettingsError(
            f'{text!r} is not an address',
            'write host:port, such as 10.0.0.7:8000',
        )


def _check_ip_address(text: str) -> None:
    host, _, port = text.rpartition(':')
    if not _is_ip(host.strip('[]')) or not _is_port(port):
        raise SettingsError(
            f'{text!r} is not an IP address with a port',
            'write an IP number and a port, such as 10.0.0.7:8000',
        )


def _check_url(text: str) -> None:
    scheme, separator, rest = text.rpartition('://')
    if separator and scheme not in {'http', 'https'}:
        raise SettingsError(
            f'{text!r} has the unknown scheme {scheme!r}',
            'write http://host:port or https://host:port',
        )
    _check_address(rest.split('/')[0])


def _check_token_hash(text: str) -> None:
    if not _TOKEN_HASH_PATTERN.fullmatch(text):
        raise SettingsError(
            'this is not the hash of a token',
            'make a token and its hash with `guavagate token`, and write the'
            ' hash here: sha256: and 64 hex digits',
        )


def _is_port(text: str) -> bool:
    return 0 < (parse_whole_number(text) or 0) <= _MAX_PORT


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_duration(text: str) -> None:
    if parse_duration(text) <= 0:
        raise SettingsError(f'{text!r} is no time at all', 'write more than 0')


_CHECKS: Final[dict[ValueKind, Callable[[str], object]]] = {
    ValueKind.ID: _check_id,
    ValueKind.DURATION: _check_duration,
    ValueKind.ADDRESS: _check_address,
    ValueKind.IP_ADDRESS: _check_ip_address,
    ValueKind.URL: _check_url,
    ValueKind.TOKEN_HASH: _check_token_hash,
}
