"""Tests of what is the head of an answer, for each client."""

import time
from typing import Final

import pytest

from guavagate.exceptions import UpstreamError
from guavagate.http1._answer_head import HeadChecker, MalformedHeadError
from tests.http1.answer_readers import READERS, serve_bytes

_BODY: Final = b'the body'
_LENGTH: Final = b'Content-Length: %d' % len(_BODY)
_OK: Final = b'HTTP/1.1 200 OK'
_CHUNKED: Final = b'Transfer-Encoding: chunked'


def _join(*lines: bytes) -> bytes:
    return b'\r\n'.join((*lines, b'', b''))


_NO_HEADS: Final = {
    'status 000': _join(b'HTTP/1.1 000 X', _LENGTH),
    'status 099': _join(b'HTTP/1.1 099 X', _LENGTH),
    'status 600': _join(b'HTTP/1.1 600 X', _LENGTH),
    'status 999': _join(b'HTTP/1.1 999 X', _LENGTH),
    'two digits': _join(b'HTTP/1.1 20 X', _LENGTH),
    'four digits': _join(b'HTTP/1.1 2000 X', _LENGTH),
    'another major version': _join(b'HTTP/2.0 200 OK', _LENGTH),
    'no version of HTTP': _join(b'HTTP/0.9 200 OK', _LENGTH),
    'another protocol': _join(b'ICY 200 OK', _LENGTH),
    'control byte in the reason': _join(b'HTTP/1.1 200 a\x01b', _LENGTH),
    'blank within a name': _join(_OK, b'X y: 1', _LENGTH),
    'blank within the length': _join(_OK, b'Content -Length: 8'),
    'blank after a name': _join(_OK, b'X : 1', _LENGTH),
    'blank before a name': _join(_OK, b'X: 1', b' Content-Length: 2'),
    'tab before a name': _join(_OK, b'X: 1', b'\tContent-Length: 2'),
    'blank before the first name': _join(_OK, b' X: 1', _LENGTH),
    'folded value': _join(_OK, _LENGTH, b'X: 1', b' y'),
    'tab within a name': _join(_OK, b'X\ty: 1', _LENGTH),
    'control byte in a name': _join(_OK, b'X\x01y: 1', _LENGTH),
    'control byte in the length': _join(_OK, b'Content-Length\x01: 2'),
    'NUL in a name': _join(_OK, b'X\x00y: 1', _LENGTH),
    'CR in a name': _join(_OK, b'X\ry: 1', _LENGTH),
    'DEL in a name': _join(_OK, b'X\x7fy: 1', _LENGTH),
    'high byte in a name': _join(_OK, b'X\xe9y: 1', _LENGTH),
    'no colon': _join(_OK, b'Xy', _LENGTH),
    'no name': _join(_OK, b': y', _LENGTH),
    'control byte in a value': _join(_OK, b'X: a\x01b', _LENGTH),
    'NUL in a value': _join(_OK, b'X: a\x00b', _LENGTH),
    'CR in a value': _join(_OK, b'X: a\rb', _LENGTH),
    'DEL in a value': _join(_OK, b'X: a\x7fb', _LENGTH),
    'two lengths': _join(_OK, _LENGTH, b'Content-Length: 2'),
    'negative length': _join(_OK, b'Content-Length: -2'),
    'length of other digits': _join(_OK, 'Content-Length: ²'.encode()),
    'length too large': _join(_OK, b'Content-Length: %b' % (b'9' * 5000)),
    'a length and chunks': _join(_OK, _LENGTH, _CHUNKED),
    'chunks of HTTP/1.0': _join(b'HTTP/1.0 200 OK', _CHUNKED),
    'another coding': _join(_OK, b'Transfer-Encoding: gzip'),
    'a coding before chunks': _join(_OK, b'Transfer-Encoding: gzip, chunked'),
    'chunks twice': _join(_OK, _CHUNKED, _CHUNKED),
    'interim answer of status 000': _join(b'HTTP/1.1 000 X'),
    'interim answer that is none': _join(b'HTTP/1.1 100 X', b'X y: 1'),
}
_HEADS: Final = {
    'plain': _join(_OK, _LENGTH),
    'no reason': _join(b'HTTP/1.1 200', _LENGTH),
    'HTTP/1.0': _join(b'HTTP/1.0 200 OK', _LENGTH),
    'empty value': _join(_OK, b'X:', _LENGTH),
    'tab within a value': _join(_OK, b'X: a\tb', _LENGTH),
    'high byte in a value': _join(_OK, b'X: a\xe9b', _LENGTH),
    'without a length': _join(_OK, b'X: 1'),
    'all signs of a name': _join(_OK, b"!#$%&'*+-.^_`|~09azAZ: 1", _LENGTH),
    'interim answer before': _join(b'HTTP/1.1 100 X') + _join(_OK, _LENGTH),
}


@pytest.mark.parametrize('reader', list(READERS))
@pytest.mark.parametrize('name', list(_NO_HEADS))
def test_what_is_no_head_is_no_answer(reader: str, name: str) -> None:
    """It reached callers as an answer, or with a body that was not its own.

    In the chunked cases a body would end as a well-formed one does.
    """
    head = _NO_HEADS[name]
    body = b'8\r\nthe body\r\n0\r\n\r\n' if b'chunked' in head else _BODY
    if name.startswith('interim'):
        body = _join(_OK, _LENGTH) + _BODY
    with serve_bytes(head + body) as address, pytest.raises(UpstreamError):
        READERS[reader](address, b'')


@pytest.mark.parametrize('reader', list(READERS))
@pytest.mark.parametrize('name', list(_HEADS))
def test_other_heads_are_answers(reader: str, name: str) -> None:
    """A check that is too strict would refuse answers of sound upstreams."""
    with serve_bytes(_HEADS[name] + _BODY) as address:
        assert READERS[reader](address, b'') == (200, _BODY)


@pytest.mark.parametrize(
    'line',
    [
        b'X:%b\x01' % (b' ' * 60_000),
        b'X: %b\x01' % (b'a ' * 30_000),
        b'X%b' % (b'a' * 60_000),
    ],
    ids=['blanks', 'words', 'name'],
)
def test_an_odd_line_takes_no_longer_than_a_sound_one(line: bytes) -> None:
    """Each blank could have been one before the value or one of the value."""
    before = time.process_time()
    with pytest.raises(MalformedHeadError):
        HeadChecker().feed(_join(_OK, line))
    assert time.process_time() - before < 1


@pytest.mark.parametrize('size', [1, 7, 64])
@pytest.mark.parametrize('reader', list(READERS))
def test_a_head_may_arrive_in_any_parts(reader: str, size: int) -> None:
    """The end of a head may lie between two reads."""
    sent = _HEADS['interim answer before'] + _BODY
    parts = [sent[at : at + size] for at in range(0, len(sent), size)]
    with serve_bytes(*parts) as address:
        assert READERS[reader](address, b'') == (200, _BODY)
