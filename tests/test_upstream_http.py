"""Tests that a request is sent once, over new and idle connections."""

import contextlib
from collections.abc import Callable, Iterator

import pytest
from gevent.server import StreamServer
from gevent.socket import socket

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.integrations._http import IDLE_SECONDS, Connections

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@contextlib.contextmanager
def _listen(handle: Callable[[socket], None]) -> Iterator[str]:
    """Serve connections by a handler of raw sockets."""
    server = StreamServer(('127.0.0.1', 0), lambda sock, _: handle(sock))
    server.start()
    yield f'127.0.0.1:{server.server_port}'
    server.stop()


@pytest.mark.parametrize('method', ['PUT', 'POST', 'DELETE', 'GET'])
def test_a_request_whose_answer_is_lost_is_sent_once(method: str) -> None:
    """The upstream runs the request, then closes without an answer.

    The library would repeat a PUT by itself, but the settings may declare that
    a PUT must not be repeated.
    """
    runs = []

    def run_and_close(sock: socket) -> None:
        runs.append(sock.recv(4096))
        sock.close()

    with _listen(run_and_close) as address:
        connections = Connections(SystemClock())
        with pytest.raises(UpstreamError) as raised:
            connections.send(address, method, '/notice', timeout=5)
        assert not isinstance(raised.value, UpstreamNotStartedError)
    assert len(runs) == 1


def test_a_connection_that_its_peer_closed_is_not_reused() -> None:
    """The peer closes after each answer, yet the next request succeeds."""

    def answer_once(sock: socket) -> None:
        sock.recv(4096)
        sock.sendall(_ANSWER)
        sock.close()

    with _listen(answer_once) as address:
        connections = Connections(SystemClock())
        for _ in range(3):
            answer = connections.send(address, 'POST', '/', timeout=5)
            assert connections.read(address, answer, 5) == b'ok'


class _ShiftedClock(SystemClock):
    """A clock that can be advanced."""

    def __init__(self) -> None:
        self.shift = float(0)

    def now(self) -> float:
        """Return the shifted time."""
        return super().now() + self.shift


def test_a_connection_that_was_idle_for_long_is_not_reused() -> None:
    """A firewall may have dropped its state without a reset.

    A request on it would wait for its time limit. A connection that was used
    recently carries the next request.
    """
    accepted = []

    def answer_all(sock: socket) -> None:
        accepted.append(sock)
        while sock.recv(4096):
            sock.sendall(_ANSWER)

    with _listen(answer_all) as address:
        clock = _ShiftedClock()
        connections = Connections(clock)
        for shift in (0, 0, IDLE_SECONDS + 1):
            clock.shift += shift
            answer = connections.send(address, 'GET', '/', timeout=5)
            connections.read(address, answer, 5)
        connections.close()
    assert len(accepted) == 2


def test_a_timeout_while_connecting_means_not_started() -> None:
    """The upstream's host does not answer, so no data has been sent.

    The request's timeout ends the wait for the connection. Work that must not
    run twice may then go to another upstream.
    """
    with socket() as full:
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        address = full.getsockname()
        pending = [socket() for _ in range(4)]
        for sock in pending:
            sock.setblocking(0)
            sock.connect_ex(address)
        connections = Connections(SystemClock())
        with pytest.raises(UpstreamNotStartedError):
            connections.send(
                f'127.0.0.1:{address[1]}', 'POST', '/', timeout=0.2
            )
        for sock in pending:
            sock.close()
