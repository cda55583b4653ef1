"""Forwarded streams over real sockets: resumed or cut, never corrupted."""

from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.forwarding import (
    AttemptRunner,
    Outcome,
    OutcomeKind,
    RequestGuard,
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
from guavagate.models import ServiceId, TeamId, ZoneId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import AnswerMarks, Call
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import RequestContent
from guavagate.routing import UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import make_quarantine, stop
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
    """Sends the last event's id as clients of server-sent events do."""

    def prepare(
        self, call: Call, upstream: Upstream, left: float, resume_after: int
    ) -> Request:
        """Return the request with the event to resume after."""
        last = (b'Last-Event-Id', str(resume_after).encode())
        return Request('POST', '/', [(b'Host', b'x'), last])

    def compose(self, request_id: str, host: str, path: str) -> Request:
        """Return a request made by the instance."""
        return Request('POST', path, [(b'Host', host.encode())])

    def read_signature(self, headers: Headers) -> str:
        """Return no signature; these upstreams send none."""
        return ''

    def read(self, call: Call, answer: Answer) -> AnswerMarks:
        """Return whether the request ran and whether the answer matches."""
        return AnswerMarks(
            not_run=bool(answer.get_header(b'not-run')),
            mismatched=answer.get_header(b'answers') not in {'', call.id},
        )


class _Bench:
    """Upstreams that send raw bytes and close, with one caller."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.upstreams = UpstreamTable(self.clock, ZoneId('z'))
        self.requests: dict[str, bytes] = {}
        self.outcomes: list[Outcome] = []
        self.servers: list[StreamServer] = []
        self.disconnected: list[str] = []
        self.quarantine = make_quarantine(self.clock, self.upstreams)

    def stop(self) -> None:
        """Stop the request that `stream` sends."""
        stop(
            self.quarantine,
            RequestContent(
                team=TeamId(''), method='POST', host='x', target='/', body=b''
            ),
        )

    def add(
        self,
        name: str,
        zone: str,
        raw: bytes,
        pause: float = 0,
        then: Callable[[], None] | None = None,
    ) -> None:
        """Add an upstream; those in zone z are tried first."""

        def serve(sock: socket.socket, _: object) -> None:
            self.requests[name] = sock.recv(65_536)
            sock.sendall(raw)
            if then is not None:
                then()
            if pause:
                sock.settimeout(pause)
                try:
                    ended = not sock.recv(1)
                except OSError:
                    ended = False
                if ended:
                    self.disconnected.append(name)
            sock.close()

        server, upstream = start_upstream(name, zone, serve)
        self.servers.append(server)
        self.upstreams.put(upstream)

    def stream(self, *, resumable: bool = True, leave: bool = False) -> bytes:
        """Return all that the caller receives on its connection."""
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
            AttemptRunner(
                self.clock,
                ConnectionPool(self.clock),
                self.upstreams,
                _Dialect(),
                self.quarantine,
            ),
            RequestGuard(self.quarantine, self.upstreams),
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
def bench() -> Iterator[_Bench]:
    """Return a bench without upstreams."""
    running = _Bench()
    yield running
    for server in running.servers:
        server.stop()


def _list_event_ids(received: bytes) -> list[int]:
    lines = received.split(b'\n')
    return [int(line[4:]) for line in lines if line.startswith(b'id: ')]


def test_a_complete_stream_is_forwarded_and_ended(
    bench: _Bench,
) -> None:
    """Each event arrives once, and the upstream's end of stream is sent."""
    bench.add('a', 'z', _HEAD + _chunk(_event(1)) + _chunk(_event(2)) + _END)
    received = bench.stream()
    assert _list_event_ids(received) == [1, 2]
    assert received.endswith(_END)


def test_a_stream_cut_within_an_event_resumes_at_another_upstream(
    bench: _Bench,
) -> None:
    """The first upstream dies in the middle of its third event.

    The incomplete event is dropped and another upstream resumes after the
    second one. No event is missing and none arrives twice.
    """
    first = _chunk(_event(1)) + _chunk(_event(2)) + _chunk(b'id: 3\nda')
    bench.add('a', 'z', _HEAD + first)
    bench.add('b', 'y', _HEAD + _chunk(_event(3)) + _END)
    received = bench.stream()
    assert _list_event_ids(received) == [1, 2, 3]
    assert received.count(b'id: 3') == 1
    assert received.endswith(_END)
    assert b'Last-Event-Id: 2' in bench.requests['b']


def test_a_stream_that_may_not_be_resumed_is_cut_and_runs_once(
    bench: _Bench,
) -> None:
    """The caller must see that the stream is not complete."""
    bench.add('a', 'z', _HEAD + _chunk(_event(1)))
    bench.add('b', 'y', _HEAD + _chunk(_event(2)) + _END)
    received = bench.stream(resumable=False)
    assert _list_event_ids(received) == [1]
    assert not received.endswith(_END)
    assert 'b' not in bench.requests


def test_a_stopped_stream_is_refused_and_reaches_no_upstream(
    bench: _Bench,
) -> None:
    """Upstreams have ended under it at other instances."""
    bench.add('a', 'z', _HEAD + _chunk(_event(1)) + _END)
    bench.stop()
    assert b' 503 ' in bench.stream()
    assert bench.outcomes[0].kind is OutcomeKind.NOT_RUN
    assert bench.outcomes[0].retry_after > 1
    assert not bench.requests


def test_a_stream_that_is_stopped_on_the_way_does_not_resume(
    bench: _Bench,
) -> None:
    """Its upstream is the third to end under it.

    Its caller must see that the stream is not complete.
    """
    bench.add('a', 'z', _HEAD + _chunk(_event(1)), then=bench.stop)
    bench.add('b', 'y', _HEAD + _chunk(_event(2)) + _END)
    received = bench.stream()
    assert _list_event_ids(received) == [1]
    assert not received.endswith(_END)
    assert 'b' not in bench.requests


def test_a_full_upstream_is_skipped_whatever_the_route(
    bench: _Bench,
) -> None:
    """It ran nothing, so another may run the request."""
    bench.add('a', 'z', _FULL)
    bench.add('b', 'y', _HEAD + _chunk(_event(1)) + _END)
    assert _list_event_ids(bench.stream(resumable=False)) == [1]


def test_a_stream_is_refused_as_not_run_if_all_upstreams_are_full(
    bench: _Bench,
) -> None:
    """Nothing was sent to the caller yet, so it gets a refusal."""
    bench.add('a', 'z', _FULL)
    bench.add('b', 'y', _FULL)
    assert b' 503 ' in bench.stream()
    assert bench.outcomes[0].kind is OutcomeKind.NOT_RUN


def test_a_caller_that_disconnects_ends_the_upstreams_work(
    bench: _Bench,
) -> None:
    """The upstream sees its connection closed while it still streams."""
    bench.add('a', 'z', _HEAD + _chunk(_event(1)), pause=2)
    bench.stream(leave=True)
    assert bench.disconnected == ['a']


def test_the_answer_to_another_request_is_not_forwarded(bench: _Bench) -> None:
    """An upstream sends the late answer to an earlier request.

    The caller receives its own answer from another upstream, and no part of
    the mismatched one.
    """
    head = _HEAD.replace(b'Content-Type', b'Answers: 9\r\nContent-Type')
    bench.add('a', 'z', head + _chunk(b'id: 1\ndata: other\n\n') + _END)
    bench.add('b', 'y', _HEAD + _chunk(_event(1)) + _END)
    received = bench.stream()
    assert _list_event_ids(received) == [1]
    assert b'other' not in received
