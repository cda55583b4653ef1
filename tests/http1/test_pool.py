"""Tests of responses over real sockets: complete, cut, mismatched, late."""

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
from guavagate.http1._client import SMALL_BODY_BYTES

_OK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_INCOMPLETE_CHUNKS = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
)


class _Upstream:
    """Sends the next of some raw responses to each request."""

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
    """Run an upstream that sends raw responses."""
    running = _Upstream()
    yield running
    running.server.stop()


@pytest.fixture
def pool() -> ConnectionPool:
    """Return a connection pool."""
    return ConnectionPool(SystemClock())


def _send(pool: ConnectionPool, upstream: _Upstream) -> bytes:
    request = Request('GET', '/a%2Fb?c=%20', [(b'Host', b'x')])
    return pool.send(upstream.address, request, timeout=2).read()


def test_a_connection_is_reused_and_the_target_unchanged(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """Percent-encoding in the target reaches the upstream unchanged."""
    upstream.answers = [_OK_ANSWER] * 2
    assert _send(pool, upstream) == b'ok'
    assert _send(pool, upstream) == b'ok'
    assert upstream.connections == 1
    assert upstream.requests[0].startswith(b'GET /a%2Fb?c=%20 HTTP/1.1\r\n')


def test_idle_connections_are_counted(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """Two requests at once leave two; a third one uses one of them.

    The job owner places items where connections are left. If it counted those
    in use, it would open more at one sampler beside idle ones at another.
    """
    upstream.answers = [_OK_ANSWER] * 3
    request = Request('GET', '/', [(b'Host', b'x')])
    answers = [pool.send(upstream.address, request, timeout=2) for _ in '12']
    assert pool.count_idle_connections(upstream.address) == 0
    for answer in answers:
        answer.read()
    assert pool.count_idle_connections(upstream.address) == 2
    answer = pool.send(upstream.address, request, timeout=2)
    assert pool.count_idle_connections(upstream.address) == 1
    answer.close()


def test_a_connection_with_surplus_data_is_not_reused(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """A second response follows the first and belongs to no request.

    A reused connection would deliver it as the response to the next request.
    """
    answer = _OK_ANSWER
    upstream.answers = [answer * 2, answer]
    assert _send(pool, upstream) == b'ok'
    assert _send(pool, upstream) == b'ok'
    assert upstream.connections == 2


def test_an_idle_connection_with_late_data_is_unusable(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """A second response arrives while the connection is idle."""
    answer = _OK_ANSWER
    upstream.answers = [answer, answer]
    assert _send(pool, upstream) == b'ok'
    idle = pool._idle[upstream.address][0]
    assert idle.is_usable(SystemClock().now())
    upstream.answers.append(answer)
    idle.sock.sendall(b'GET / HTTP/1.1\r\n\r\n')
    gevent.sleep(0.05)
    assert not idle.is_usable(SystemClock().now())


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok',
        _INCOMPLETE_CHUNKS,
        b'nonsense\r\n\r\n',
        b'',
    ],
)
def test_an_incomplete_or_malformed_response_raises(
    pool: ConnectionPool, upstream: _Upstream, answer: bytes
) -> None:
    """The upstream closes early or sends something other than HTTP."""
    upstream.answers = [answer]
    upstream.close_after = True
    with pytest.raises(UpstreamError):
        _send(pool, upstream)


def test_a_response_without_a_length_ends_with_its_connection(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """It is complete when the upstream closes the connection cleanly."""
    upstream.answers = [b'HTTP/1.1 200 OK\r\n\r\nok']
    upstream.close_after = True
    assert _send(pool, upstream) == b'ok'


def test_a_refused_connection_raises_unreachable(pool: ConnectionPool) -> None:
    """No server listens, so any request may be sent to another upstream."""
    taken = socket.socket()
    taken.bind(('127.0.0.1', 0))
    address = f'127.0.0.1:{taken.getsockname()[1]}'
    taken.close()
    with pytest.raises(UpstreamUnreachableError):
        pool.send(address, Request('GET', '/', []), timeout=1)


def test_an_answer_counts_while_it_is_read(upstream: _Upstream) -> None:
    """Answers of many megabytes are held before they are passed on."""
    growths: list[int] = []
    pool = ConnectionPool(SystemClock(), growths.append)
    upstream.answers = [_OK_ANSWER, _INCOMPLETE_CHUNKS]
    assert _send(pool, upstream) == b'ok'
    upstream.close_after = True
    with pytest.raises(UpstreamError):
        _send(pool, upstream)
    assert growths == [2, -2, 2, -2]


def test_a_large_answer_waits_for_memory_and_is_not_cut(
    upstream: _Upstream,
) -> None:
    """An answer for which there was no memory failed, as if it were endless."""
    size = 2 * SMALL_BODY_BYTES
    held: list[int] = []
    rooms = iter([False, False, True])
    asked: list[int] = []

    def make_room(wanted: int) -> bool:
        asked.append(wanted)
        return next(rooms)

    pool = ConnectionPool(SystemClock(), held.append, make_room, 2 * size)
    pool.record_reading(1)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    upstream.answers = [head + bytes(size)]
    assert len(_send(pool, upstream)) == size
    assert asked == [size] * 3
    assert held == [1, size, -size]


def test_a_single_large_answer_is_read_whatever_the_memory(
    upstream: _Upstream,
) -> None:
    """It would wait for ever, as nothing else can end and make room."""
    size = 2 * SMALL_BODY_BYTES
    pool = ConnectionPool(SystemClock(), make_room=lambda _: False)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    upstream.answers = [head + bytes(size)]
    assert len(_send(pool, upstream)) == size
