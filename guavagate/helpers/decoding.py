"""Decodes what comes from outside the process, with one type of error.

A decoder may raise other errors than its own: a value that is nested too deeply
exceeds the recursion limit, and some numbers can't be converted. Callers expect
`msgspec.MsgspecError`, and any other error would end the task that reads what
comes next. Therefore nothing from outside is decoded but by these functions.
"""

import functools
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

Kind = TypeVar('Kind')


def decode_json(body: bytes | str | msgspec.Raw, kind: type[Kind]) -> Kind:
    """Decode JSON as a type.

    Raises
    ------
    msgspec.MsgspecError
        The body is not valid, or not of the type.
    """
    return _decode(msgspec.json.decode, body, type=kind)


def decode_msgpack(body: bytes | msgspec.Raw, kind: type[Kind]) -> Kind:
    """Decode MessagePack as a type; raises what `decode_json` raises."""
    return _decode(msgspec.msgpack.decode, body, type=kind)


def decode_toml(body: bytes | str, kind: type[Kind]) -> Kind:
    """Decode TOML as a type; raises what `decode_json` raises."""
    return _decode(msgspec.toml.decode, body, type=kind)


def make_json_decoder(kind: type[Kind]) -> Callable[[bytes], Kind]:
    """Return a faster `decode_json` for one type."""
    return functools.partial(_decode, msgspec.json.Decoder(kind).decode)


def make_msgpack_decoder(
    kind: type[Kind],
) -> Callable[[bytes | msgspec.Raw], Kind]:
    """Return a faster `decode_msgpack` for one type."""
    return functools.partial(_decode, msgspec.msgpack.Decoder(kind).decode)


def _decode(decode: Callable[..., Any], body: Any, **options: Any) -> Any:
    try:
        return decode(body, **options)
    except msgspec.MsgspecError:
        raise
    except (RecursionError, ValueError, OverflowError) as error:
        raise msgspec.DecodeError(f'it can not be read: {error}') from error
