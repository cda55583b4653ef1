"""Tests of requests over real sockets: order, rejections, disconnects."""

import gevent
import pytest

from guavagate.http1 import (
    BodyTooLargeError,
    Exchange,
    ServerLimits,
    SlowBodyError,
)
from tests.http1.server_bench import ServerBench, echo


def test_chunked_and_pipelined_requests_are_answered_in_order() -> None:
    """A request has a chunked body; two more are sent at once."""
    bench = ServerBench(echo)
    chunked = b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
    answer = bench.send(b'%s\r\n2\r\nhi\r\n0\r\n\r\n' % chunked)
    assert answer.endswith(b'hi/a')
    both = b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n' * 2
    bench.sock.sendall(both)
    gevent.sleep(0.1)
    assert bench.sock.recv(65_536).count(b'/b') == 2


def test_invalid_requests_get_a_clear_status() -> None:
    """One request is no HTTP, the other has an oversized body."""
    assert b' 400 ' in ServerBench(echo).send(b'garbage\r\n\r\n')

    def refuse(exchange: Exchange) -> None:
        try:
            exchange.read_body(1)
        except BodyTooLargeError:
            exchange.respond(413, [], b'')

    large = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789'
    assert b' 413 ' in ServerBench(refuse).send(large)


def test_a_disconnect_is_noticed_while_a_request_runs() -> None:
    """The request to the upstream must be cancelled within half a second."""
    seen: list[str] = []

    def work(exchange: Exchange) -> None:
        exchange.read_body(0)
        exchange.on_disconnect(lambda: seen.append('gone'))
        gevent.sleep(0.3)
        exchange.respond(200, [], b'')

    bench = ServerBench(work)
    bench.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    bench.sock.close()
    gevent.sleep(0.1)
    assert seen == ['gone']


def test_a_handler_that_raises_gives_bad_gateway() -> None:
    """Without a response the caller would wait until its time limit."""

    def fail(_: Exchange) -> None:
        raise ValueError('boom')

    answer = ServerBench(fail).send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b' 502 ' in answer


def test_a_stalled_head_or_body_is_rejected() -> None:
    """A caller sends half a request and must not occupy a task for long.

    Status 408 states that nothing has run.
    """

    def work(exchange: Exchange) -> None:
        try:
            exchange.read_body(100)
        except SlowBodyError:
            exchange.respond(408, [], b'')

    limits = ServerLimits(header_timeout=0.1, idle_timeout=0.2)
    bench = ServerBench(work, limits)
    assert b' 408 ' in bench.send(b'GET / HTTP/1.1\r\nHo')
    bench = ServerBench(work, limits)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12'
    assert b' 408 ' in bench.send(head)
    idle = ServerBench(work, limits)
    with gevent.Timeout(2, TimeoutError):
        assert idle.sock.recv(10) == b''


def _respond_unread(exchange: Exchange) -> None:
    exchange.respond(503, [], b'')


def test_a_response_before_the_body_is_read_keeps_the_connection() -> None:
    """An instance without a configuration responds before it reads the body.

    Without `Connection: close` the caller reuses the connection, so closing
    it would lose the next request.
    """
    bench = ServerBench(_respond_unread)
    request = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'
    for _ in range(2):
        answer = bench.send(request)
        assert b' 503 ' in answer
        assert b'connection: close' not in answer.lower()


def test_a_response_to_an_incomplete_body_announces_the_close() -> None:
    """The server does not wait for the rest, so the connection must end."""
    bench = ServerBench(_respond_unread)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
    answer = bench.send(head)
    assert b' 503 ' in answer
    assert b'connection: close' in answer.lower()


@pytest.mark.parametrize('rest', [b'zz\r\n', b'2\r\nhixx\r\n'])
def test_a_malformed_body_is_the_callers_fault(rest: bytes) -> None:
    """It got 502, as if an upstream had failed, and a traceback in the log."""
    head = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    assert b' 400 ' in ServerBench(echo).send(b'%b%b' % (head, rest))


def test_a_caller_that_leaves_within_a_chunk_is_no_failure(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each one that left wrote a traceback of fifty lines into the log."""
    bench = ServerBench(echo)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    bench.sock.sendall(b'%b9\r\nhi' % head)
    gevent.sleep(0.05)
    bench.sock.close()
    gevent.sleep(0.05)
    assert bench.server.active == 0
    assert not caplog.records
