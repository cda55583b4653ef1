"""Idempotency keys: whether they tell when they were made."""

import uuid
from typing import Final

import xxhash

_CROCKFORD: Final = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
_ULID_LENGTH: Final = 26
_ULID_TIME_LENGTH: Final = 10
_PLAUSIBLE: Final = (1_600_000_000.0, 4_000_000_000.0)


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return what tells two different requests under one key apart."""
    digest = xxhash.xxh3_128(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def find_key_time(key: str) -> float | None:
    """Return the epoch seconds inside a UUIDv7 or ULID, if it is one."""
    found = _read_uuid(key)
    if found is None:
        found = _read_ulid(key)
    if found is None or not _PLAUSIBLE[0] < found < _PLAUSIBLE[1]:
        return None
    return found


def _read_uuid(key: str) -> float | None:
    """Read the time of a UUIDv7."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def _read_ulid(key: str) -> float | None:
    """Read the time of a ULID."""
    text = key.upper()
    if len(text) != _ULID_LENGTH or not set(text) <= set(_CROCKFORD):
        return None
    milliseconds = 0
    for letter in text[:_ULID_TIME_LENGTH]:
        milliseconds = milliseconds * 32 + _CROCKFORD.index(letter)
    return milliseconds / 1000
