"""The form of a record on disk: length and checksum before the payload."""

import struct
from typing import Final

import xxhash

_HEADER: Final = struct.Struct('>4sQ16s')
_MAGIC: Final = b'GGB1'


def encode_record(payload: bytes) -> bytes:
    """Return a payload with its header."""
    digest = xxhash.xxh3_128_digest(payload)
    return _HEADER.pack(_MAGIC, len(payload), digest) + payload


def decode_record(record: bytes) -> bytes | None:
    """Return the payload; nothing when any of it is missing or changed.

    A process that is killed while writing, or a disk that fills up, leaves a
    file that is shorter or holds other bytes; taken for whole it would be a
    wrong sample.
    """
    if len(record) < _HEADER.size:
        return None
    magic, length, digest = _HEADER.unpack_from(record)
    payload = record[_HEADER.size :]
    if magic != _MAGIC or len(payload) != length:
        return None
    if xxhash.xxh3_128_digest(payload) != digest:
        return None
    return payload
