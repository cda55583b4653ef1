"""JSON of other writers, of which what can be read is read."""

import json
from typing import TypeVar

import msgspec

Kind = TypeVar('Kind')


def decode_leniently(body: bytes, kind: type[Kind]) -> Kind:
    """Return a JSON text as a type.

    An object by another writer may hold bytes that are no text, half of a
    character, or a number that is none; what stands beside it holds.

    Raises
    ------
    msgspec.MsgspecError
        It is nothing of the kind, however it is read.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError:
        return msgspec.json.decode(_clean(body), type=kind)


def _clean(body: bytes) -> bytes:
    """Return a body without what only a lenient reader takes for JSON."""
    try:
        found = json.loads(
            body.decode('utf-8', 'replace'), parse_constant=lambda _: None
        )
    except ValueError:
        return body
    return json.dumps(found, ensure_ascii=False).encode('utf-8', 'replace')
