"""An HTTP server under test and a raw connection to it."""

import gevent
from gevent import socket

from guavagate.clock import SystemClock
from guavagate.http1 import Exchange, HttpServer, ServerLimits


class ServerBench:
    """An HTTP server and a raw connection to it."""

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
        self.address = ('127.0.0.1', port)
        self.sock = socket.create_connection(self.address)

    def drain(self) -> int:
        """Stop the server gracefully, within two seconds."""
        return self.server.drain(SystemClock().now() + 2)

    def send(self, request: bytes) -> bytes:
        """Send bytes and return the first data received."""
        self.sock.sendall(request)
        with gevent.Timeout(2, TimeoutError):
            return self.sock.recv(65_536)


def echo(exchange: Exchange) -> None:
    """Respond with the body and the target."""
    body = exchange.read_body(10)
    exchange.respond(200, [], body + exchange.request.target.encode())
