"""Tests that a planned stop interrupts no request."""

import socket as stdlib
from typing import Final

import gevent
import pytest
from gevent import monkey, socket

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
