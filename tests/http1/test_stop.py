"""Planned stops over real sockets: no request is cut."""

import socket as stdlib
from typing import Final

import gevent
import pytest
from gevent import monkey, socket

from guavagate.http1 import Exchange
from tests.http1.callers import Caller, echo

_blocking_socket: Final = monkey.get_original('socket', 'socket')


def _connect_unseen(caller: Caller) -> stdlib.socket:
    """Connect without giving the server's tasks a turn to accept."""
    address = caller.address
    sock = _blocking_socket(stdlib.AF_INET, stdlib.SOCK_STREAM)
    sock.connect(address)
    sock.settimeout(2)
    return sock


def test_a_stop_ends_idle_connections_and_waits_for_answers() -> None:
    """One request is being worked on, another connection is idle."""

    def work(exchange: Exchange) -> None:
        exchange.read_body(0)
        gevent.sleep(0.2)
        exchange.respond(200, [], b'done')

    caller = Caller(work)
    port = caller.server._server.server_port
    idle = socket.create_connection(('127.0.0.1', port))
    caller.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    assert caller.finish() == 0
    answer = caller.sock.recv(65_536)
    assert answer.endswith(b'done')
    assert b'connection: close' in answer.lower()
    assert idle.recv(10) == b''


def test_a_request_that_arrives_as_the_stop_begins_is_answered() -> None:
    """It lies unread on a kept connection when idle ones are closed.

    Closed at that moment, it would be lost though this process was there to
    answer it.
    """
    caller = Caller(echo)
    caller.ask(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    caller.sock.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert caller.finish() == 0
    with gevent.Timeout(2, TimeoutError):
        assert caller.sock.recv(65_536).endswith(b'/b')


def test_a_connection_not_accepted_yet_is_served_as_the_stop_begins() -> None:
    """The system has accepted it for us, and its request is on the way.

    A stop that looks at accepted connections only leaves it waiting, and the
    end of the process resets it: the caller sees a request cut.
    """
    caller = Caller(echo)
    waiting = _connect_unseen(caller)
    waiting.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert caller.finish() == 0
    assert waiting.recv(65_536).endswith(b'/b')


def test_a_caller_that_has_just_connected_may_send_its_request() -> None:
    """It connects as the stop begins; its request is a round trip behind."""
    caller = Caller(echo)
    fresh = socket.create_connection(caller.sock.getpeername())
    ending = gevent.spawn(caller.finish)
    gevent.sleep(0.1)
    fresh.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert ending.get(timeout=2) == 0
    assert fresh.recv(65_536).endswith(b'/b')


def test_a_connection_made_during_the_stop_is_refused_at_once() -> None:
    """The process waits for an answer that it holds; a new caller comes.

    Kept waiting, it would lose its time and be reset at the process's end;
    refused, it knows that nothing was sent and asks another instance.
    """

    def work(exchange: Exchange) -> None:
        gevent.sleep(0.3)
        exchange.respond(200, [], b'done')

    caller = Caller(work)
    caller.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    ending = gevent.spawn(caller.finish)
    gevent.sleep(0.05)
    with pytest.raises(ConnectionRefusedError):
        _connect_unseen(caller)
    assert ending.get(timeout=2) == 0


def test_answers_ask_to_close_once_a_stop_is_announced() -> None:
    """Kept connections end with an answer, before they are cut idle."""
    caller = Caller(echo)
    caller.server.announce_stop()
    answer = caller.ask(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b'connection: close' in answer.lower()
