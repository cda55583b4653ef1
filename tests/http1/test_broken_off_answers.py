"""Tests that an answer which this server breaks off never looks complete."""

from collections.abc import Callable

import gevent
import pytest
from gevent import socket

from guavagate.http1 import Exchange, Headers
from tests.http1.server_bench import ServerBench

_LENGTH: Headers = [(b'Content-Length', b'100')]


def _make_handler(
    headers: Headers, end: Callable[[Exchange], None]
) -> Callable[[Exchange], None]:
    def handle(exchange: Exchange) -> None:
        exchange.read_body(10)
        exchange.start(200, headers)
        exchange.send(b'a part')
        gevent.sleep(0.05)
        end(exchange)

    return handle


def _raise(_: Exchange) -> None:
    raise RuntimeError('broken')


def _return(_: Exchange) -> None:
    """Leave the answer without its end."""


def _read(sock: socket.socket) -> tuple[bytes, bool]:
    """Return what arrives, and whether the connection was reset."""
    received = b''
    with gevent.Timeout(2, TimeoutError):
        try:
            while data := sock.recv(65_536):
                received += data
        except ConnectionResetError:
            return received, True
    return received, False


@pytest.mark.parametrize('end', [Exchange.abort, _raise, _return])
@pytest.mark.parametrize('headers', [[], _LENGTH], ids=['none', 'length'])
@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
def test_an_answer_that_is_broken_off_looks_incomplete(
    version: bytes, headers: Headers, end: Callable[[Exchange], None]
) -> None:
    """To a caller of HTTP/1.0 the part of a stream was a whole answer.

    Such an answer has neither a length nor chunks and ends with its connection,
    so that only a reset tells it from a whole one.
    """
    bench = ServerBench(_make_handler(headers, end))
    bench.sock.sendall(b'GET / HTTP/%b\r\nHost: x\r\n\r\n' % version)
    received, is_reset = _read(bench.sock)
    head, _, body = received.partition(b'\r\n\r\n')
    if b'chunked' in head.lower():
        assert not body.endswith(b'0\r\n\r\n')
    elif b'content-length' not in head.lower():
        assert is_reset


def test_a_whole_answer_without_chunks_ends_with_its_connection() -> None:
    """A reset would lose what its caller has not read yet."""

    def handle(exchange: Exchange) -> None:
        exchange.read_body(10)
        exchange.start(200, [])
        exchange.send(b'all of it')
        exchange.end()

    bench = ServerBench(handle)
    bench.sock.sendall(b'GET / HTTP/1.0\r\nHost: x\r\n\r\n')
    received, is_reset = _read(bench.sock)
    assert received.endswith(b'all of it')
    assert not is_reset
