"""Tests that a planned stop interrupts no request."""

import socket as stdlib
from typing import Final

import gevent
import pytest
from gevent import monkey, socket
from gevent.event import Event

from guavagate.clock import SystemClock
from guavagate.http1 import Exchange
from tests.http1.server_bench import ServerBench, echo

_blocking_socket: Final = monkey.get_original('socket', 'socket')


def _connect_unaccepted(bench: ServerBench) -> stdlib.socket:
    """Connect without letting the server's tasks accept."""
    address = bench.address
    sock = _blocking_socket(stdlib.AF_INET, stdlib.SOCK_STREAM)
    sock.connect(address)
    sock.settimeout(2)
    return sock


def test_a_stop_closes_idle_connections_and_waits_for_requests() -> None:
    """One connection has a running request, another is idle."""

    def work(exchange: Exchange) -> None:
        exchange.read_body(0)
        gevent.sleep(0.2)
        exchange.respond(200, [], b'done')

    bench = ServerBench(work)
    port = bench.server._server.server_port
    idle = socket.create_connection(('127.0.0.1', port))
    bench.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    assert bench.drain() == 0
    answer = bench.sock.recv(65_536)
    assert answer.endswith(b'done')
    assert b'connection: close' in answer.lower()
    assert idle.recv(10) == b''


def test_an_unread_request_is_answered_when_the_stop_begins() -> None:
    """The request is unread when the server closes idle connections.

    Closing its connection too would lose a request that can be answered.
    """
    bench = ServerBench(echo)
    bench.send(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    bench.sock.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert bench.drain() == 0
    with gevent.Timeout(2, TimeoutError):
        assert bench.sock.recv(65_536).endswith(b'/b')


def test_a_connection_not_yet_accepted_is_served_when_the_stop_begins() -> None:
    """The kernel has accepted the connection, the server has not.

    A stop that ignores it leaves it waiting until the end of the process
    resets it, which interrupts its request.
    """
    bench = ServerBench(echo)
    waiting = _connect_unaccepted(bench)
    waiting.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert bench.drain() == 0
    assert waiting.recv(65_536).endswith(b'/b')


def test_a_new_connection_has_time_to_send_its_request() -> None:
    """Its request arrives a round trip after the stop has begun."""
    bench = ServerBench(echo)
    fresh = socket.create_connection(bench.sock.getpeername())
    draining = gevent.spawn(bench.drain)
    gevent.sleep(0.1)
    fresh.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert draining.get(timeout=2) == 0
    assert fresh.recv(65_536).endswith(b'/b')


def test_a_connection_during_the_stop_is_refused_at_once() -> None:
    """A caller connects while the process waits for a running request.

    An accepted connection would wait and be reset at the end of the process.
    A refused one shows that nothing was sent, and the caller can use another
    instance.
    """

    def work(exchange: Exchange) -> None:
        gevent.sleep(0.3)
        exchange.respond(200, [], b'done')

    bench = ServerBench(work)
    bench.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    draining = gevent.spawn(bench.drain)
    gevent.sleep(0.05)
    with pytest.raises(ConnectionRefusedError):
        _connect_unaccepted(bench)
    assert draining.get(timeout=2) == 0


def test_responses_announce_the_close_once_a_stop_is_announced() -> None:
    """Connections end after a response, before the server closes them."""
    bench = ServerBench(echo)
    bench.server.announce_stop()
    answer = bench.send(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b'connection: close' in answer.lower()


def _read_rest(sock: socket.socket) -> bytes:
    received = b''
    with gevent.Timeout(2, TimeoutError):
        while data := sock.recv(65_536):
            received += data
    return received


@pytest.mark.parametrize(
    ('body', 'status'),
    [(b'body', b'504'), (b'bo', b'503')],
    ids=['read', 'not read'],
)
def test_a_request_that_still_runs_when_the_stop_ends_is_answered(
    body: bytes, status: bytes
) -> None:
    """Its caller got no answer and did not know whether it had run.

    If its body has not arrived, it has not.
    """

    def work(exchange: Exchange) -> None:
        exchange.read_body(10)
        gevent.sleep(60)

    bench = ServerBench(work)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n'
    bench.sock.sendall(head + body)
    gevent.sleep(0.05)
    assert bench.server.drain(SystemClock().now() + 0.2) == 1
    answer = bench.sock.recv(65_536)
    assert answer.startswith(b'HTTP/1.1 %b' % status)
    assert (b'retry-after: 0' in answer.lower()) == (status == b'503')


def test_an_answer_that_has_begun_is_not_ended_by_a_stop() -> None:
    """What its handler could add would belong to no answer."""

    def work(exchange: Exchange) -> None:
        exchange.read_body(10)
        exchange.start(200, [(b'Content-Length', b'4')])
        exchange.send(b'ab')
        gevent.sleep(60)

    bench = ServerBench(work)
    received = bench.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert bench.server.drain(SystemClock().now() + 0.2) == 1
    bench.sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        received += bench.sock.recv(65_536)
    assert received.endswith(b'\r\n\r\nab')


def test_a_handler_learns_that_the_stop_ends() -> None:
    """It knows best whether its request has run."""

    def work(exchange: Exchange) -> None:
        exchange.read_body(10)
        woken = Event()
        exchange.on_disconnect(woken.set)
        woken.wait()
        exchange.respond(503 if exchange.interrupted else 200, [], b'')

    bench = ServerBench(work)
    bench.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    assert bench.server.drain(SystemClock().now() + 0.2) == 0
    assert _read_rest(bench.sock).startswith(b'HTTP/1.1 503')


def test_a_request_knows_whether_it_can_be_answered() -> None:
    """Before a stop always, and in a stop until its end."""
    answers = []

    def work(exchange: Exchange) -> None:
        exchange.read_body(10)
        answers.append(exchange.may_take(100))
        gevent.sleep(0.1)
        answers.extend(exchange.may_take(each) for each in (0.5, 5))
        exchange.respond(200, [], b'')

    bench = ServerBench(work)
    bench.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    assert bench.drain() == 0
    assert answers == [True, True, False]
