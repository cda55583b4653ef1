"""Leniently decodes JSON that other programs wrote."""

import json
import math
import re
from typing import Any, Final, TypeVar

import msgspec

from guavagate.helpers.decoding import decode_json

Kind = TypeVar('Kind')

# Far deeper than any value that guavagate reads, and far from the recursion
# limit of the decoders.
MAX_NESTING: Final = 100
# Strings are matched whole, as they may contain brackets; one without an end is
# matched up to the end of the text, so that it is not searched twice.
_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"?|[\[{]+|[\]}]+', re.DOTALL)
_NULL: Final = 'null'


def decode_leniently(
    body: bytes, kind: type[Kind], value_nesting: int = 1
) -> Kind:
    """Decode JSON as a type, tolerating what only some of its values hold.

    An object of another writer may contain invalid UTF-8, half of a surrogate
    pair, a number such as NaN, or lists within lists beyond what a decoder can
    follow; the other values are still valid.

    Parameters
    ----------
    value_nesting
        Within how many lists and objects the values lie that are replaced by
        null if they are nested too deeply.

    Raises
    ------
    msgspec.MsgspecError
        The body does not match the type even when it is read leniently.
    """
    try:
        return decode_json(body, kind)
    except msgspec.MsgspecError:
        return decode_json(_clean(body, value_nesting), kind)


def _clean(body: bytes, value_nesting: int) -> bytes:
    """Rewrite a body as strict JSON; return it unchanged if that fails."""
    text = body.decode('utf-8', 'replace')
    try:
        decoded = _load(text, value_nesting)
    except (ValueError, RecursionError):
        return body
    return json.dumps(decoded, ensure_ascii=False).encode('utf-8', 'replace')


def _load(text: str, value_nesting: int) -> Any:
    try:
        return _load_without_odd_numbers(text)
    except RecursionError:
        return _load_without_odd_numbers(drop_deep_values(text, value_nesting))


def _load_without_odd_numbers(text: str) -> Any:
    """Return the values of a text, null for a number that JSON can't have."""
    return json.loads(
        text,
        parse_constant=_read_as_null,
        parse_int=_read_integer,
        parse_float=_read_float,
    )


def _read_as_null(_: str) -> None:
    """Read a constant that JSON does not have, such as NaN."""


def _read_integer(digits: str) -> int | None:
    try:
        return int(digits)
    except ValueError:  # Python converts no thousands of digits.
        return None


def _read_float(digits: str) -> float | None:
    number = float(digits)
    return number if math.isfinite(number) else None


def drop_deep_values(text: str, value_nesting: int) -> str:
    """Replace values by null that are nested beyond `MAX_NESTING`.

    Parameters
    ----------
    value_nesting
        Within how many lists and objects these values lie.
    """
    parts: list[str] = []
    depth = 0
    copied_to = 0
    value_at = 0
    is_deep = False
    for token in _TOKEN.finditer(text):
        found = token[0]
        if found[0] == '"':
            continue
        before = depth
        depth += len(found) if found[0] in '[{' else -len(found)
        if before <= value_nesting < depth:
            value_at = token.start() + value_nesting - before
            is_deep = False
        is_deep = is_deep or depth > MAX_NESTING
        if depth <= value_nesting < before and is_deep:
            parts += (text[copied_to:value_at], _NULL)
            copied_to = token.start() + before - value_nesting
    return ''.join((*parts, text[copied_to:]))
