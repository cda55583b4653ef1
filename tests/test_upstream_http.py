"""Tests that a request goes out once, over connections new and kept."""

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
    """Serve raw connections."""
    server = StreamServer(('127.0.0.1', 0), lambda sock, _: handle(sock))
    server.start()
    yield f'127.0.0.1:{server.server_port}'
    server.stop()


@pytest.mark.parametrize('method', ['PUT', 'POST', 'DELETE', 'GET'])
def test_a_request_whose_answer_is_lost_goes_out_once(method: str) -> None:
    """The upstream runs the request, then dies before its answer.

    The library would send a PUT again by itself. The settings may say that a
    PUT must not be repeated, so it may be sent only once.
    """
    runs = []

    def run_and_die(sock: socket) -> None:
        runs.append(sock.recv(4096))
        sock.close()

    with _listen(run_and_die) as address:
        connections = Connections(SystemClock())
        with pytest.raises(UpstreamError) as caught:
            connections.send(address, method, '/notice', timeout=5)
        assert not isinstance(caught.value, UpstreamNotStartedError)
    assert len(runs) == 1


def test_a_kept_connection_that_its_peer_closed_is_not_used() -> None:
    """The peer closes after its answer; the next request still gets one."""

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
    """A clock that can be put forward."""

    def __init__(self) -> None:
        self.shift = float(0)

    def now(self) -> float:
        """Return the shifted time."""
        return super().now() + self.shift


def test_a_connection_that_was_idle_for_long_is_not_used_again() -> None:
    """Something on the way may have forgotten it without telling anyone.

    A request on it would wait for its whole time limit. One that was used
    just now carries the next request.
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


def test_a_connection_that_is_not_made_in_time_is_not_started() -> None:
    """The upstream's host answers nothing, so no byte has been sent.

    The request's own time limit ends the wait for the connection: the work
    may be given to another upstream, also when it must not run twice.
    """
    with socket() as full:
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        place = full.getsockname()
        waiting = [socket() for _ in range(4)]
        for one in waiting:
            one.setblocking(0)
            one.connect_ex(place)
        connections = Connections(SystemClock())
        with pytest.raises(UpstreamNotStartedError):
            connections.send(f'127.0.0.1:{place[1]}', 'POST', '/', timeout=0.2)
        for one in waiting:
            one.close()
