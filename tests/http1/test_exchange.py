"""Requests and answers over real sockets: cut, crossed, kept, left."""

import socket as stdlib
from collections.abc import Iterator
from typing import Final

import gevent
import pytest
from gevent import monkey, socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamUnreachableError
from guavagate.http1 import (
    BodyTooLargeError,
    ConnectionPool,
    Exchange,
    HttpServer,
    Request,
    ServerLimits,
    SlowBodyError,
)

_blocking_socket: Final = monkey.get_original('socket', 'socket')
_OK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_CUT_CHUNKS = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
)


class _Upstream:
    """Answers each request with the next of some raw answers."""

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.connections = 0
        self.requests: list[bytes] = []
        self.close_after = False
        self.server = StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _serve(self, sock: socket.socket, _: object) -> None:
        self.connections += 1
        while self.answers:
            request = sock.recv(65_536)
            if not request:
                break
            self.requests.append(request)
            sock.sendall(self.answers.pop(0))
            if self.close_after:
                break
        sock.close()


@pytest.fixture
def upstream() -> Iterator[_Upstream]:
    """Run an upstream of raw answers."""
    held = _Upstream()
    yield held
    held.server.stop()


@pytest.fixture
def pool() -> ConnectionPool:
    """Return a pool of connections."""
    return ConnectionPool(SystemClock())


def _ask(pool: ConnectionPool, upstream: _Upstream) -> bytes:
    request = Request('GET', '/a%2Fb?c=%20', [(b'Host', b'x')])
    return pool.send(upstream.address, request, timeout=2).read()


def test_a_connection_is_kept_and_the_target_unchanged(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """Escapes in the target reach the upstream as the caller sent them."""
    upstream.answers = [_OK_ANSWER] * 2
    assert _ask(pool, upstream) == b'ok'
    assert _ask(pool, upstream) == b'ok'
    assert upstream.connections == 1
    assert upstream.requests[0].startswith(b'GET /a%2Fb?c=%20 HTTP/1.1\r\n')


def test_bytes_after_an_answer_end_the_connection(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """A second answer follows the first; it belongs to no request.

    On a kept connection it would be read as the answer to the next request.
    """
    answer = _OK_ANSWER
    upstream.answers = [answer * 2, answer]
    assert _ask(pool, upstream) == b'ok'
    assert _ask(pool, upstream) == b'ok'
    assert upstream.connections == 2


def test_late_bytes_on_an_idle_connection_end_it(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """The second answer arrives while the connection is idle."""
    answer = _OK_ANSWER
    upstream.answers = [answer, answer]
    assert _ask(pool, upstream) == b'ok'
    kept = pool._idle[upstream.address][0]
    assert kept.is_usable(SystemClock().now())
    upstream.answers.append(answer)
    kept.sock.sendall(b'GET / HTTP/1.1\r\n\r\n')
    gevent.sleep(0.05)
    assert not kept.is_usable(SystemClock().now())


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok',
        _CUT_CHUNKS,
        b'nonsense\r\n\r\n',
        b'',
    ],
)
def test_a_cut_or_spoilt_answer_is_no_answer(
    pool: ConnectionPool, upstream: _Upstream, answer: bytes
) -> None:
    """The upstream breaks off or sends what is no HTTP."""
    upstream.answers = [answer]
    upstream.close_after = True
    with pytest.raises(UpstreamError):
        _ask(pool, upstream)


def test_an_answer_without_a_length_ends_with_its_connection(
    pool: ConnectionPool, upstream: _Upstream
) -> None:
    """Such an answer is whole when the connection is closed properly."""
    upstream.answers = [b'HTTP/1.1 200 OK\r\n\r\nok']
    upstream.close_after = True
    assert _ask(pool, upstream) == b'ok'


def test_a_refused_connection_has_run_nothing(pool: ConnectionPool) -> None:
    """Nobody listens; the request can go elsewhere, whatever its kind."""
    taken = socket.socket()
    taken.bind(('127.0.0.1', 0))
    address = f'127.0.0.1:{taken.getsockname()[1]}'
    taken.close()
    with pytest.raises(UpstreamUnreachableError):
        pool.send(address, Request('GET', '/', []), timeout=1)


class _Caller:
    """A server of ours and a raw connection to it."""

    def __init__(
        self, handle: object, limits: ServerLimits | None = None
    ) -> None:
        self.server = HttpServer(
            '127.0.0.1:0',
            SystemClock(),
            handle,  # type: ignore[arg-type]
            lambda: limits or ServerLimits(),
        )
        self.server.start()
        port = self.server._server.server_port
        self.sock = socket.create_connection(('127.0.0.1', port))

    def finish(self) -> int:
        """Stop the server as planned, within two seconds."""
        return self.server.finish(SystemClock().now() + 2)

    def ask(self, request: bytes) -> bytes:
        """Send bytes and return what comes first."""
        self.sock.sendall(request)
        with gevent.Timeout(2, TimeoutError):
            return self.sock.recv(65_536)


def _echo(exchange: Exchange) -> None:
    body = exchange.read_body(10)
    exchange.respond(200, [], body + exchange.request.target.encode())


def test_chunks_and_pipelined_requests_are_answered_in_order() -> None:
    """A chunked body, then two requests sent at once."""
    caller = _Caller(_echo)
    chunked = b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
    answer = caller.ask(b'%s\r\n2\r\nhi\r\n0\r\n\r\n' % chunked)
    assert answer.endswith(b'hi/a')
    both = b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n' * 2
    caller.sock.sendall(both)
    gevent.sleep(0.1)
    assert caller.sock.recv(65_536).count(b'/b') == 2


def test_what_is_no_request_gets_a_clear_refusal() -> None:
    """Garbage and an oversized body."""
    assert b' 400 ' in _Caller(_echo).ask(b'garbage\r\n\r\n')

    def refuse(exchange: Exchange) -> None:
        try:
            exchange.read_body(1)
        except BodyTooLargeError:
            exchange.respond(413, [], b'')

    large = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789'
    assert b' 413 ' in _Caller(refuse).ask(large)


def test_a_caller_that_leaves_is_noticed_while_work_goes_on() -> None:
    """The upstream has to be left within half a second of it."""
    seen: list[str] = []

    def work(exchange: Exchange) -> None:
        exchange.read_body(0)
        exchange.on_gone(lambda: seen.append('gone'))
        gevent.sleep(0.3)
        exchange.respond(200, [], b'')

    caller = _Caller(work)
    caller.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    caller.sock.close()
    gevent.sleep(0.1)
    assert seen == ['gone']


def test_a_failed_handler_does_not_leave_the_caller_waiting() -> None:
    """An unexpected error is answered as one, and logged."""

    def fail(_: Exchange) -> None:
        raise ValueError('boom')

    answer = _Caller(fail).ask(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b' 502 ' in answer


def test_a_stop_ends_idle_connections_and_waits_for_answers() -> None:
    """One request is being worked on, another connection is idle."""

    def work(exchange: Exchange) -> None:
        exchange.read_body(0)
        gevent.sleep(0.2)
        exchange.respond(200, [], b'done')

    caller = _Caller(work)
    port = caller.server._server.server_port
    idle = socket.create_connection(('127.0.0.1', port))
    caller.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    assert caller.finish() == 0
    answer = caller.sock.recv(65_536)
    assert answer.endswith(b'done')
    assert b'connection: close' in answer.lower()
    assert idle.recv(10) == b''


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
    caller = _Caller(work, limits)
    assert b' 408 ' in caller.ask(b'GET / HTTP/1.1\r\nHo')
    caller = _Caller(work, limits)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12'
    assert b' 408 ' in caller.ask(head)
    idle = _Caller(work, limits)
    with gevent.Timeout(2, TimeoutError):
        assert idle.sock.recv(10) == b''


def test_a_request_that_arrives_as_the_stop_begins_is_answered() -> None:
    """It lies unread on a kept connection when idle ones are closed.

    Closed at that moment, it would be lost though this process was there to
    answer it.
    """
    caller = _Caller(_echo)
    caller.ask(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    caller.sock.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert caller.finish() == 0
    with gevent.Timeout(2, TimeoutError):
        assert caller.sock.recv(65_536).endswith(b'/b')


def _connect_unseen(caller: _Caller) -> stdlib.socket:
    """Connect without giving the server's tasks a turn to accept."""
    address = ('127.0.0.1', caller.server._server.server_port)
    sock = _blocking_socket(stdlib.AF_INET, stdlib.SOCK_STREAM)
    sock.connect(address)
    sock.settimeout(2)
    return sock


def test_a_connection_not_accepted_yet_is_served_as_the_stop_begins() -> None:
    """The system has accepted it for us, and its request is on the way.

    A stop that looks at accepted connections only leaves it waiting, and the
    end of the process resets it: the caller sees a request cut.
    """
    caller = _Caller(_echo)
    waiting = _connect_unseen(caller)
    waiting.sendall(b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n')
    assert caller.finish() == 0
    assert waiting.recv(65_536).endswith(b'/b')


def test_a_caller_that_has_just_connected_may_send_its_request() -> None:
    """It connects as the stop begins; its request is a round trip behind."""
    caller = _Caller(_echo)
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

    caller = _Caller(work)
    caller.sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    gevent.sleep(0.05)
    ending = gevent.spawn(caller.finish)
    gevent.sleep(0.05)
    with pytest.raises(ConnectionRefusedError):
        _connect_unseen(caller)
    assert ending.get(timeout=2) == 0


def _refuse_unread(exchange: Exchange) -> None:
    exchange.respond(503, [], b'')


def test_a_refusal_before_the_body_was_read_keeps_the_connection() -> None:
    """An instance without a configuration refuses at the head already.

    The caller keeps the connection, as nothing told it not to; closed now, it
    would lose its next request.
    """
    caller = _Caller(_refuse_unread)
    request = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'
    for _ in range(2):
        answer = caller.ask(request)
        assert b' 503 ' in answer
        assert b'connection: close' not in answer.lower()


def test_a_refusal_says_so_when_it_closes_on_a_body_that_still_comes() -> None:
    """The rest of a body is not waited for, so the connection has to end."""
    caller = _Caller(_refuse_unread)
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
    answer = caller.ask(head)
    assert b' 503 ' in answer
    assert b'connection: close' in answer.lower()


def test_answers_ask_to_close_once_a_stop_is_announced() -> None:
    """Kept connections end with an answer, before they are cut idle."""
    caller = _Caller(_echo)
    caller.server.announce_stop()
    answer = caller.ask(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b'connection: close' in answer.lower()
