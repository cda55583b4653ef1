"""Requests of callers over real sockets: in order, refused, left."""

import gevent

from guavagate.http1 import (
    BodyTooLargeError,
    Exchange,
    ServerLimits,
    SlowBodyError,
)
from tests.http1.callers import Caller, echo


def test_chunks_and_pipelined_requests_are_answered_in_order() -> None:
    """A chunked body, then two requests sent at once."""
    caller = Caller(echo)
    chunked = b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
    answer = caller.ask(b'%s\r\n2\r\nhi\r\n0\r\n\r\n' % chunked)
    assert answer.endswith(b'hi/a')
    both = b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n' * 2
    caller.sock.sendall(both)
    gevent.sleep(0.1)
    assert caller.sock.recv(65_536).count(b'/b') == 2


def test_what_is_no_request_gets_a_clear_refusal() -> None:
    """Garbage and an oversized body."""
    assert b' 400 ' in Caller(echo).ask(b'garbage\r\n\r\n')

    def refuse(exchange: Exchange) -> None:
        try:
            exchange.read_body(1)
        except BodyTooLargeError:
            exchange.respond(413, [], b'')

    large = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789'
    assert b' 413 ' in Caller(refuse).ask(large)


def test_a_caller_that_leaves_is_noticed_while_work_goes_on() -> None:
    """The upstream has to be left within half a second of it."""
    seen: list[str] = []

    def work(exchange: Exchange) -> None:
        exchange.read_body(0)
        exchange.on_disconnect(lambda: seen.append('gone'))
        gevent.sleep(0.3)
        exchange.respond(200, [], b'')

    caller = Caller(work)
    caller.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    caller.sock.close()
    gevent.sleep(0.1)
    assert seen == ['gone']


def test_a_failed_handler_does_not_leave_the_caller_waiting() -> None:
    """An unexpected error is answered as one, and logged."""

    def fail(_: Exchange) -> None:
        raise ValueError('boom')

    answer = Caller(fail).ask(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b' 502 ' in answer


def test_a_head_or_body_that_stops_coming_is_refused() -> None:
    """A caller sends half a request and waits; it must not hold a task.

    408 promises that nothing has run.
    """

    def work(exchange: Exchange) -> None:
        try:
            exchange.read_body(100)
        except SlowBodyError:
            exchange.respond(408, [], b'')

    limits = ServerLimits(header_timeout=0.1, idle_timeout=0.2)
    caller = Caller(work, limits)
    assert b' 408 ' in caller.ask(b'GET / HTTP/1.1\r\nHo')
    caller = Caller(work, limits)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12'
    assert b' 408 ' in caller.ask(head)
    idle = Caller(work, limits)
    with gevent.Timeout(2, TimeoutError):
        assert idle.sock.recv(10) == b''


def _refuse_unread(exchange: Exchange) -> None:
    exchange.respond(503, [], b'')


def test_a_refusal_before_the_body_was_read_keeps_the_connection() -> None:
    """An instance without a configuration refuses at the head already.

    The caller keeps the connection, as nothing told it not to; closed now, it
    would lose its next request.
    """
    caller = Caller(_refuse_unread)
    request = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'
    for _ in range(2):
        answer = caller.ask(request)
        assert b' 503 ' in answer
        assert b'connection: close' not in answer.lower()


def test_a_refusal_says_so_when_it_closes_on_a_body_that_still_comes() -> None:
    """The rest of a body is not waited for, so the connection has to end."""
    caller = Caller(_refuse_unread)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
    answer = caller.ask(head)
    assert b' 503 ' in answer
    assert b'connection: close' in answer.lower()
