"""Answers of upstreams over real sockets: whole, cut, crossed, late."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamUnreachableError
from guavagate.http1 import (
    ConnectionPool,
    Request,
)

_OK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_CUT_CHUNKS = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
)


class _Upstream:
    """Answers each request with the next of some raw answers."""

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.connections = 0
        self.requests: list[bytes] = []
        self.close_after = False
        self.server = StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _serve(self, sock: socket.socket, _: object) -> None:
        self.connections += 1
        while self.answers:
            request = sock.recv(65_536)
            if not request:
                break
            self.requests.append(request)
            sock.sendall(self.answers.pop(0))
            if self.close_after:
                break
        sock.close()


@pytest.fixture
def upstream() -> Iterator[_Upstream]:
    """Run an upstream of raw answers."""
    held = _Upstream()
    yield held
    held.server.stop()


@pytest.fixture
def pool() -> ConnectionPool:
    """Return a pool of connections."""
    return ConnectionPool(SystemClock())


def _ask(pool: ConnectionPool, upstream: _Upstream) -> bytes:
    request = Request('GET', '/a%2Fb?c=%20', [(b'Host', b'x')])
    return pool.send(upstream.address, request, timeout=2).read()


def test_a_connection_is_kept_and_the_target_unchanged(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """Escapes in the target reach the upstream as the caller sent them."""
    upstream.answers = [_OK_ANSWER] * 2
    assert _ask(pool, upstream) == b'ok'
    assert _ask(pool, upstream) == b'ok'
    assert upstream.connections == 1
    assert upstream.requests[0].startswith(b'GET /a%2Fb?c=%20 HTTP/1.1\r\n')


def test_bytes_after_an_answer_end_the_connection(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """A second answer follows the first; it belongs to no request.

    On a kept connection it would be read as the answer to the next request.
    """
    answer = _OK_ANSWER
    upstream.answers = [answer * 2, answer]
    assert _ask(pool, upstream) == b'ok'
    assert _ask(pool, upstream) == b'ok'
    assert upstream.connections == 2


def test_late_bytes_on_an_idle_connection_end_it(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """The second answer arrives while the connection is idle."""
    answer = _OK_ANSWER
    upstream.answers = [answer, answer]
    assert _ask(pool, upstream) == b'ok'
    kept = pool._idle[upstream.address][0]
    assert kept.is_usable(SystemClock().now())
    upstream.answers.append(answer)
    kept.sock.sendall(b'GET / HTTP/1.1\r\n\r\n')
    gevent.sleep(0.05)
    assert not kept.is_usable(SystemClock().now())


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok',
        _CUT_CHUNKS,
        b'nonsense\r\n\r\n',
        b'',
    ],
)
def test_a_cut_or_spoilt_answer_is_no_answer(
    pool: ConnectionPool, upstream: _Upstream, answer: bytes
) -> None:
    """The upstream breaks off or sends what is no HTTP."""
    upstream.answers = [answer]
    upstream.close_after = True
    with pytest.raises(UpstreamError):
        _ask(pool, upstream)


def test_an_answer_without_a_length_ends_with_its_connection(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """Such an answer is whole when the connection is closed properly."""
    upstream.answers = [b'HTTP/1.1 200 OK\r\n\r\nok']
    upstream.close_after = True
    assert _ask(pool, upstream) == b'ok'


def test_a_refused_connection_has_run_nothing(pool: ConnectionPool) -> None:
    """Nobody listens; the request can go elsewhere, whatever its kind."""
    taken = socket.socket()
    taken.bind(('127.0.0.1', 0))
    address = f'127.0.0.1:{taken.getsockname()[1]}'
    taken.close()
    with pytest.raises(UpstreamUnreachableError):
        pool.send(address, Request('GET', '/', []), timeout=1)
