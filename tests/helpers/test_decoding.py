"""Tests that a decoder's error is of one type, whatever it is given."""

import ast
import contextlib
import pathlib
from collections.abc import Iterator
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

import guavagate
from guavagate.helpers import decoding
from guavagate.links._envelope import Envelope
from tests.helpers.odd_bodies import ODD_JSON, ODD_MSGPACK

_FOLDER: Final = pathlib.Path(guavagate.__file__).parent
_MODULES: Final = {
    'msgspec',
    'msgspec.json',
    'msgspec.msgpack',
    'msgspec.toml',
}
_DECODERS: Final = {'decode', 'Decoder', 'convert'}
# These read what the process itself has written, or a value decoded before.
_EXCEPTED: Final = (
    'helpers/decoding.py',
    'measure/',
    'settings/_check.py',
    'settings/_documents.py',
)


class _Record(msgspec.Struct):
    version: int
    share: float = 0
    values: dict[str, Any] = {}
    raw: msgspec.Raw = msgspec.Raw(b'null')


@pytest.mark.parametrize('name', list(ODD_JSON))
def test_odd_json_raises_one_type_of_error(name: str) -> None:
    """A recursion error ended the tasks that follow objects of the store."""
    with pytest.raises(msgspec.MsgspecError):
        decoding.decode_json(ODD_JSON[name], _Record)
    with pytest.raises(msgspec.MsgspecError):
        decoding.make_json_decoder(_Record)(ODD_JSON[name])


@pytest.mark.parametrize('name', list(ODD_MSGPACK))
def test_odd_msgpack_raises_one_type_of_error(name: str) -> None:
    """It ended the task that reads the messages of all peers."""
    for kind in (Envelope, _Record):
        with pytest.raises(msgspec.MsgspecError):
            decoding.decode_msgpack(ODD_MSGPACK[name], kind)
        with pytest.raises(msgspec.MsgspecError):
            decoding.make_msgpack_decoder(kind)(ODD_MSGPACK[name])


@pytest.mark.parametrize(
    'text',
    [
        b'a=%b' % (b'[' * 20_000),
        b'a=%b' % (b'9' * 5000),
        b'a="\xff"',
        b'a=',
        b'%ba=1' % (b'a.' * 20_000),
    ],
)
def test_odd_toml_raises_one_type_of_error(text: bytes) -> None:
    """A settings file that was changed under a process must not end it."""
    with pytest.raises(msgspec.MsgspecError):
        decoding.decode_toml(text, _Record)


@given(st.binary())
def test_any_bytes_raise_one_type_of_error(body: bytes) -> None:
    """The tables above have only what is known."""
    for decode in (decoding.decode_json, decoding.decode_msgpack):
        with contextlib.suppress(msgspec.MsgspecError):
            decode(body, _Record)


def test_nothing_from_outside_is_decoded_otherwise() -> None:
    """One decoder that is called directly is enough to end a task."""
    found = [
        f'{path.relative_to(_FOLDER)}:{line}'
        for path in sorted(_FOLDER.rglob('*.py'))
        if not str(path.relative_to(_FOLDER)).startswith(_EXCEPTED)
        for line in _find_decoders(path)
    ]
    assert not found


def _find_decoders(path: pathlib.Path) -> Iterator[int]:
    """Yield the lines that use a decoder of msgspec."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Attribute) or node.attr not in _DECODERS:
            continue
        if ast.unparse(node.value) in _MODULES:
            yield node.lineno
