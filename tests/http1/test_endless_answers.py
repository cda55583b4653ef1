"""Tests that bytes without end cost bounded memory, for each client."""

import itertools
from typing import Final

import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError
from guavagate.integrations._http import Connections
from tests.http1.answer_readers import LIMIT_SECONDS, READERS
from tests.http1.task_watch import MAX_PAUSE_SECONDS, TaskWatch

# The most that is read of a body, and what the kernel holds between the ends.
_MAX_SENT_BYTES: Final = 40_000_000
# Without a bound, all of it would be read within the time limit.
_ENDLESS_BYTES: Final = 400_000_000
_OK: Final = b'HTTP/1.1 200 OK\r\n%b'
_ENDLESS: Final = {
    'value': (_OK % b'A: ', b'a' * 100_000),
    'fields': (_OK % b'', b'Name: value\r\n' * 10_000),
    'status line': (b'HTTP/1.1 200 ', b'a' * 100_000),
    'interim answers': (b'', b'HTTP/1.1 103 X\r\n\r\n' * 10_000),
    'body': (_OK % b'\r\n', b'a' * 100_000),
    'chunk': (_OK % b'Transfer-Encoding: chunked\r\n\r\n', b'0' * 100_000),
    'chunks': (
        _OK % b'Transfer-Encoding: chunked\r\n\r\n',
        b'2710\r\n%b\r\n' % (b'a' * 10_000) * 10,
    ),
    'tiny chunks': (
        _OK % b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\na\r\n' * 10_000,
    ),
    'long chunk heads': (
        _OK % b'Transfer-Encoding: chunked\r\n\r\n',
        b'1;%b\r\na\r\n' % (b'a' * 1000) * 100,
    ),
    'trailer': (
        _OK % b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'Name: value\r\n' * 10_000,
    ),
}


class _EndlessUpstream:
    """Sends a part again and again until its caller closes."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self._start = start
        self._part = part
        self.sent = 0
        self.server = StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _serve(self, sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        for part in itertools.chain((self._start,), self._repeat()):
            try:
                sock.sendall(part)
            except OSError:
                return
            self.sent += len(part)

    def _repeat(self) -> 'itertools.repeat[bytes]':
        return itertools.repeat(self._part, _ENDLESS_BYTES // len(self._part))


@pytest.mark.parametrize('reader', list(READERS))
@pytest.mark.parametrize('name', list(_ENDLESS))
def test_bytes_without_end_are_read_to_a_limit(reader: str, name: str) -> None:
    """All were kept until the time limit, and the process ran out of memory."""
    upstream = _EndlessUpstream(*_ENDLESS[name])
    with pytest.raises(UpstreamError):
        READERS[reader](upstream.address, b'')
    upstream.server.stop(0)
    assert upstream.sent < _MAX_SENT_BYTES


@pytest.mark.parametrize('reader', list(READERS))
@pytest.mark.parametrize('name', ['body', 'tiny chunks'])
def test_other_tasks_run_while_bytes_without_end_are_read(
    reader: str, name: str
) -> None:
    """The process did nothing else for eight seconds.

    A read that finds data doesn't wait, and each of these chunks takes the
    parser as long as a large one, so that the upstream was always ahead. Not
    even the time limit of the request could end it.
    """
    upstream = _EndlessUpstream(*_ENDLESS[name])
    watch = TaskWatch()
    with pytest.raises(UpstreamError):
        READERS[reader](upstream.address, b'')
    upstream.server.stop(0)
    assert watch.stop() < MAX_PAUSE_SECONDS


def test_a_body_of_tiny_parts_is_cut_by_their_number() -> None:
    """Up to its limit of bytes it would take the parser a minute."""
    upstream = _EndlessUpstream(*_ENDLESS['tiny chunks'])
    with pytest.raises(UpstreamError, match='too many parts'):
        READERS['pool'](upstream.address, b'')
    upstream.server.stop(0)


def test_an_event_without_end_is_read_to_a_limit() -> None:
    """The library reads on until the end of the event arrives."""
    upstream = _EndlessUpstream(_OK % b'\r\ndata: ', b'a' * 100_000)
    connections = Connections(SystemClock())
    answer = connections.send(
        upstream.address, 'POST', '/', timeout=LIMIT_SECONDS
    )
    with pytest.raises(UpstreamError):
        connections.read_until(b'\n\n', upstream.address, answer, LIMIT_SECONDS)
    answer.release()
    upstream.server.stop(0)
    assert upstream.sent < _MAX_SENT_BYTES / 4
