"""Leniently decodes JSON that other programs wrote."""

import json
from typing import TypeVar

import msgspec

Kind = TypeVar('Kind')


def decode_leniently(body: bytes, kind: type[Kind]) -> Kind:
    """Decode JSON as a type, tolerating invalid characters and numbers.

    An object of another writer may contain invalid UTF-8, half of a surrogate
    pair, or a number such as NaN; the other values are still valid.

    Raises
    ------
    msgspec.MsgspecError
        The body does not match the type even when it is read leniently.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError:
        return msgspec.json.decode(_clean(body), type=kind)


def _clean(body: bytes) -> bytes:
    """Rewrite a body as strict JSON; return it unchanged if that fails."""
    try:
        decoded = json.loads(
            body.decode('utf-8', 'replace'), parse_constant=lambda _: None
        )
    except ValueError:
        return body
    return json.dumps(decoded, ensure_ascii=False).encode('utf-8', 'replace')
