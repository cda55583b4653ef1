"""Streams passed on over real sockets: resumed, cut, never joined wrongly."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.forwarding import (
    Attempts,
    Outcome,
    OutcomeKind,
    StreamForwarder,
)
from guavagate.http1 import (
    Answer,
    ConnectionPool,
    Exchange,
    Headers,
    HttpServer,
    Request,
)
from guavagate.models import ServiceId, ZoneId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import AnswerMarks, Call
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from tests.forwarding.common import start_upstream
from tests.routing.test_routes import make_route

_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_END = b'0\r\n\r\n'
_FULL = b'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


def _event(number: int) -> bytes:
    return b'id: %d\ndata: e%d\n\n' % (number, number)


class _Dialect:
    """Names the last event as the callers of SSE do."""

    def prepare(
        self, call: Call, upstream: Upstream, left: float, resume_after: int
    ) -> Request:
        """Return the request with where to resume."""
        last = (b'Last-Event-Id', str(resume_after).encode())
        return Request('POST', '/', [(b'Host', b'x'), last])

    def compose(self, request_id: str, host: str, path: str) -> Request:
        """Return a request of our own."""
        return Request('POST', path, [(b'Host', host.encode())])

    def read_signature(self, headers: Headers) -> str:
        """Return nothing; these upstreams give none."""
        return ''

    def read(self, call: Call, answer: Answer) -> AnswerMarks:
        """Return whether the upstream ran it, and whose answer it is."""
        return AnswerMarks(
            not_run=bool(answer.find(b'not-run')),
            mismatched=answer.find(b'answers') not in {'', call.id},
        )


class _Setting:
    """Upstreams that send raw bytes and close, and a caller."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.upstreams = UpstreamTable(self.clock, ZoneId('z'))
        self.requests: dict[str, bytes] = {}
        self.outcomes: list[Outcome] = []
        self.servers: list[StreamServer] = []
        self.left: list[str] = []

    def add(self, name: str, zone: str, raw: bytes, hold: float = 0) -> None:
        """Add an upstream; near ones of zone z are asked first."""

        def serve(sock: socket.socket, _: object) -> None:
            self.requests[name] = sock.recv(65_536)
            sock.sendall(raw)
            if hold:
                sock.settimeout(hold)
                try:
                    ended = not sock.recv(1)
                except OSError:
                    ended = False
                if ended:
                    self.left.append(name)
            sock.close()

        server, upstream = start_upstream(name, zone, serve)
        self.servers.append(server)
        self.upstreams.put(upstream)

    def ask(self, *, resumable: bool = True, leave: bool = False) -> bytes:
        """Return all that the caller gets until its connection ends."""
        route = make_route(
            '/', kind=RouteKind.STREAM, resumable=resumable, max_attempts=3
        )
        server = self._serve(route)
        sock = socket.create_connection(
            ('127.0.0.1', server._server.server_port)
        )
        sock.sendall(b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n')
        received = b''
        with gevent.Timeout(3, TimeoutError):
            while True:
                data = sock.recv(65_536)
                received += data
                if leave and data:
                    sock.close()
                    gevent.sleep(0.3)
                    return received
                if not data or received.endswith(_END):
                    return received

    def _serve(self, route: Route) -> HttpServer:
        forwarder = StreamForwarder(
            self.clock,
            self.upstreams,
            Attempts(
                self.clock,
                ConnectionPool(self.clock),
                self.upstreams,
                _Dialect(),
            ),
        )

        def handle(exchange: Exchange) -> None:
            exchange.read_body(10)
            call = Call(
                id='1',
                request=exchange.request,
                body=b'',
                until=self.clock.now() + 2,
            )
            outcome = forwarder.forward(exchange, call, route, ServiceId('s'))
            self.outcomes.append(outcome)
            if not exchange.started:
                exchange.respond(503, [], b'')

        server = HttpServer('127.0.0.1:0', self.clock, handle)
        server.start()
        return server


@pytest.fixture
def held() -> Iterator[_Setting]:
    """Return a setting without upstreams."""
    setting = _Setting()
    yield setting
    for server in setting.servers:
        server.stop()


def _count(received: bytes) -> list[int]:
    lines = received.split(b'\n')
    return [int(line[4:]) for line in lines if line.startswith(b'id: ')]


def test_a_whole_stream_is_passed_on_and_ends_as_complete(
    held: _Setting,
) -> None:
    """Each event comes once, and the end is the upstream's."""
    held.add('a', 'z', _HEAD + _chunk(_event(1)) + _chunk(_event(2)) + _END)
    received = held.ask()
    assert _count(received) == [1, 2]
    assert received.endswith(_END)


def test_a_stream_cut_in_an_event_goes_on_at_another(held: _Setting) -> None:
    """The first upstream dies in the middle of its third event.

    The half event is not shown; the other upstream is asked for what comes
    after the second. No event is missing and none comes twice.
    """
    first = _chunk(_event(1)) + _chunk(_event(2)) + _chunk(b'id: 3\nda')
    held.add('a', 'z', _HEAD + first)
    held.add('b', 'y', _HEAD + _chunk(_event(3)) + _END)
    received = held.ask()
    assert _count(received) == [1, 2, 3]
    assert received.count(b'id: 3') == 1
    assert received.endswith(_END)
    assert b'Last-Event-Id: 2' in held.requests['b']


def test_one_that_may_not_be_resumed_is_cut_and_runs_once(
    held: _Setting,
) -> None:
    """The caller must see that the stream is not complete."""
    held.add('a', 'z', _HEAD + _chunk(_event(1)))
    held.add('b', 'y', _HEAD + _chunk(_event(2)) + _END)
    received = held.ask(resumable=False)
    assert _count(received) == [1]
    assert not received.endswith(_END)
    assert 'b' not in held.requests


def test_a_full_upstream_is_passed_over_whatever_the_route(
    held: _Setting,
) -> None:
    """It ran nothing, so another may run the request."""
    held.add('a', 'z', _FULL)
    held.add('b', 'y', _HEAD + _chunk(_event(1)) + _END)
    assert _count(held.ask(resumable=False)) == [1]


def test_all_full_is_not_run(held: _Setting) -> None:
    """Nothing was sent to the caller yet; it may be told so."""
    held.add('a', 'z', _FULL)
    held.add('b', 'y', _FULL)
    assert b' 503 ' in held.ask()
    assert held.outcomes[0].kind is OutcomeKind.NOT_RUN


def test_a_caller_that_leaves_ends_the_upstreams_work(
    held: _Setting,
) -> None:
    """The upstream sees its connection closed while it waits to go on."""
    held.add('a', 'z', _HEAD + _chunk(_event(1)), hold=2)
    held.ask(leave=True)
    assert held.left == ['a']


def test_the_answer_to_another_request_is_no_answer(held: _Setting) -> None:
    """An upstream's late answer comes where the next one is expected.

    The caller gets its own from another upstream, and nothing of the first.
    """
    head = _HEAD.replace(b'Content-Type', b'Answers: 9\r\nContent-Type')
    held.add('a', 'z', head + _chunk(b'id: 1\ndata: other\n\n') + _END)
    held.add('b', 'y', _HEAD + _chunk(_event(1)) + _END)
    received = held.ask()
    assert _count(received) == [1]
    assert b'other' not in received
