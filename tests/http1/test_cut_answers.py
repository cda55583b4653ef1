"""Tests that an answer which is cut off is never taken for a whole one."""

import struct
from collections.abc import Iterator
from typing import Final

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamDisconnectedError
from guavagate.http1 import ConnectionPool, Request
from tests.http1.answer_readers import READERS

_LIMIT_SECONDS: Final = 10
# More than the kernel buffers for both ends, so that it is still being written
# when the answer arrives.
_LONG_BODY: Final = b'x' * 32_000_000
_HEAD: Final = b'HTTP/1.1 200 OK\r\n%b\r\n%b'
_PART: Final = b'a part of the answer'
# `struct linger`: on, with no time to send the rest; resets the connection.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class _HastyUpstream:
    """Answers as soon as a request begins, then resets the connection."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self.server = StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _serve(self, sock: socket.socket, _: object) -> None:
        sock.recv(1000)
        sock.sendall(self._answer)
        # The answer arrives before the reset.
        gevent.sleep(0.1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        sock.close()


@pytest.fixture
def limit() -> Iterator[None]:
    """Limit the time of a test that would wait for ever if it failed."""
    with gevent.Timeout(_LIMIT_SECONDS):
        yield


def _upload(answer: bytes) -> tuple[int, bytes, int]:
    """Upload a long body; return status, body and idle connections."""
    upstream = _HastyUpstream(answer)
    pool = ConnectionPool(SystemClock())
    request = Request('POST', '/', [(b'Host', b'x')])
    try:
        received, body = pool.fetch(
            upstream.address, request, _LONG_BODY, timeout=_LIMIT_SECONDS
        )
    finally:
        upstream.server.stop(0)
    return received.status, body, pool.count_idle_connections(upstream.address)


@pytest.mark.usefixtures('limit')
@pytest.mark.parametrize('reader', list(READERS))
def test_an_answer_without_a_length_that_is_reset_is_not_whole(
    reader: str,
) -> None:
    """Its part was passed on as the whole one.

    The upstream answers before it has read the request, and resets the
    connection while that is still being written. The kernel reports the reset
    to the write, and to the reader just the end of the connection, which is
    also how an answer without a length ends.
    """
    upstream = _HastyUpstream(_HEAD % (b'', _PART))
    with pytest.raises(UpstreamDisconnectedError):
        READERS[reader](upstream.address, _LONG_BODY)
    upstream.server.stop(0)


@pytest.mark.parametrize('reader', list(READERS))
@pytest.mark.parametrize('body', [b'', b'x'])
def test_an_answer_that_is_reset_after_the_request_is_not_whole(
    reader: str, body: bytes
) -> None:
    """The reader meets the reset itself, after the part of the answer."""
    upstream = _HastyUpstream(_HEAD % (b'', _PART))
    with pytest.raises(UpstreamDisconnectedError):
        READERS[reader](upstream.address, body)
    upstream.server.stop(0)


@pytest.mark.usefixtures('limit')
def test_a_whole_answer_counts_though_the_connection_is_reset() -> None:
    """Its length shows that it is whole; the connection is not used again."""
    length = b'Content-Length: %d\r\n' % len(_PART)
    assert _upload(_HEAD % (length, _PART)) == (200, _PART, 0)
