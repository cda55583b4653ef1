"""A stream forwarder with upstreams and a caller over real sockets."""

import itertools
from collections.abc import Callable

import gevent
import h11
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.forwarding import (
    AttemptRunner,
    Outcome,
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
    ServerLimits,
)
from guavagate.models import ServiceId, TeamId, ZoneId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import AnswerMarks, Call
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import RequestContent
from guavagate.residency import RequestBounds
from guavagate.routing import UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import make_quarantine, stop
from tests.routing.test_routes import make_route

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
END = b'0\r\n\r\n'
SILENCE_SECONDS = 0.6
FULL = b'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'


def make_chunk(data: bytes) -> bytes:
    """Return data as a chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def make_event(number: int, size: int = 0) -> bytes:
    """Return an event, with so many bytes of padding."""
    return b'id: %d\ndata: e%d%s\n\n' % (number, number, b'-' * size)


def read_body(received: bytes) -> bytes:
    """Return the body of an answer in chunks, as far as it has arrived."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', 'x')]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(received)
    events = iter(parser.next_event, h11.NEED_DATA)
    ended = itertools.takewhile(_is_not_end, events)
    return b''.join(each.data for each in ended if isinstance(each, h11.Data))


def _is_not_end(event: object) -> bool:
    return not isinstance(event, h11.EndOfMessage)


class _Dialect:
    """Sends the last event's id as clients of server-sent events do."""

    version_name = b'weight-versions'

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


class StreamBench:
    """Upstreams that send raw bytes and close, with one caller."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.upstreams = UpstreamTable(self.clock, ZoneId('z'))
        self.requests: dict[str, bytes] = {}
        self.outcomes: list[Outcome] = []
        self.servers: list[StreamServer] = []
        self.disconnected: list[str] = []
        # Upstreams that could send all of their answer.
        self.taken: list[str] = []
        self.quarantine = make_quarantine(self.clock, self.upstreams)
        self.bounds: RequestBounds | None = None

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
        later: bytes = b'',
    ) -> None:
        """Add an upstream; those in zone z are tried first.

        It sends `later` after a silence of `SILENCE_SECONDS`.
        """

        def serve(sock: socket.socket, _: object) -> None:
            self.requests[name] = sock.recv(65_536)
            try:
                sock.sendall(raw)
                if later:
                    gevent.sleep(SILENCE_SECONDS)
                    sock.sendall(later)
            except OSError:
                self.disconnected.append(name)
                return
            self.taken.append(name)
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
        server = self.serve(route)
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
                if not data or received.endswith(END):
                    return received

    def serve(
        self, route: Route, limits: ServerLimits | None = None
    ) -> HttpServer:
        """Start the instance and return its server."""
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
            self.bounds,
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

        server = HttpServer(
            '127.0.0.1:0', self.clock, handle, lambda: limits or ServerLimits()
        )
        server.start()
        return server
