"""Tests that whatever an upstream sends is an answer or an `UpstreamError`."""

import contextlib
import re
from collections.abc import Iterator
from typing import Final

import pytest
from gevent import socket
from gevent.server import StreamServer
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from guavagate.exceptions import UpstreamError
from tests.http1.answer_readers import READERS

_LINES: Final = st.sampled_from(
    (
        b'HTTP/1.1 200 OK',
        b'HTTP/1.0 200 OK',
        b'HTTP/1.1 100 Continue',
        b'HTTP/1.1 101 X',
        b'HTTP/1.1 204 X',
        b'HTTP/1.1 304 X',
        b'HTTP/1.1 999 X',
        b'Content-Length: 4',
        b'Content-Length: 5',
        b'Content-Length: -1',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: gzip',
        b'Connection: close',
        b'Connection: upgrade',
        b'Upgrade: a',
        b' X: 1',
        b'X : 1',
        b'X',
        b'',
        b'4',
        b'body',
        b'0',
    )
)
_ANSWERS: Final = st.one_of(
    st.binary(max_size=200),
    st.lists(_LINES, max_size=12).map(b'\r\n'.join),
    st.tuples(st.lists(_LINES, max_size=12), st.binary(max_size=5)).map(
        lambda parts: (
            b'HTTP/1.1 200 OK\r\n%b%b' % (b'\r\n'.join(parts[0]), parts[1])
        )
    ),
)
_STATUS: Final = re.compile(rb'HTTP/1\.[0-9] ([1-5][0-9]{2})[ \r\n]')


class _Upstream:
    """Sends the same bytes to each request, then closes."""

    def __init__(self) -> None:
        self.answer = b''
        self.server = StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _serve(self, sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        with contextlib.suppress(OSError):
            sock.sendall(self.answer)
        sock.close()


@pytest.fixture(name='upstream', scope='module')
def make_upstream() -> Iterator[_Upstream]:
    """Return an upstream that stops after the tests."""
    running = _Upstream()
    yield running
    running.server.stop(0)


@settings(
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(answer=_ANSWERS)
def test_any_bytes_are_an_answer_or_an_upstream_error(
    upstream: _Upstream, answer: bytes
) -> None:
    """Any other error would end the task that reads it.

    What is taken for an answer has a status line of HTTP somewhere, and no more
    body than was sent.
    """
    upstream.answer = answer
    for read in READERS.values():
        try:
            status, body = read(upstream.address, b'')
        except UpstreamError:
            continue
        assert b'%d' % status in _STATUS.findall(answer)
        assert len(body) <= len(answer)
