"""Routes, servers and faults that the stand-ins' applications share."""

import socket
from collections.abc import Callable
from typing import Any, Final

import falcon
import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

_ENV_SOCKET: Final = 'standins.socket'

Responder = Callable[..., None]


class _Handler(WSGIHandler):
    """Passes the socket to the application, which may reset it."""

    def handle(self) -> None:
        """Disable Nagle's algorithm.

        Otherwise each streamed chunk waits until the client acknowledges the
        previous one, and clients delay acknowledgements by 40 ms.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the environment."""
        env = super().get_environ()
        env[_ENV_SOCKET] = self.socket
        return env


class Server:
    """A running stand-in.

    Parameters
    ----------
    app
        A WSGI application.
    port
        Port to listen on; 0 for any free one.
    """

    def __init__(self, app: falcon.App, port: int = 0) -> None:
        self._server = WSGIServer(
            ('127.0.0.1', port),
            app,
            handler_class=_Handler,
            spawn=Pool(),
            log=None,
            error_log=None,
        )
        self._server.start()

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Close the socket and abort running requests."""
        self._server.stop(timeout=0)

    def wait(self) -> None:
        """Serve until the process ends."""
        gevent.wait()


def serve(app: falcon.App, port: int = 0) -> Server:
    """Start an application on the loopback address."""
    return Server(app, port)


def route(app: falcon.App, template: str, **responders: Responder) -> None:
    """Add a route; keywords map lower-case HTTP methods to functions."""
    members = {
        f'on_{method}': staticmethod(responder)
        for method, responder in responders.items()
    }
    app.add_route(template, type('Resource', (), members)())


def read_json(req: falcon.Request, kind: Any = dict) -> Any:
    """Return the decoded body; respond with 400 if it is invalid."""
    data = req.bounded_stream.read()
    try:
        return msgspec.json.decode(data or b'{}', type=kind)
    except msgspec.MsgspecError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error


def write_json(resp: falcon.Response, answer: Any, status: int = 200) -> None:
    """Respond with JSON."""
    resp.status = status
    resp.content_type = 'application/json'
    resp.data = msgspec.json.encode(answer)


def write_error(resp: falcon.Response, status: int, code: str) -> None:
    """Respond with an error code."""
    write_json(resp, {'error': {'code': code, 'message': code}}, status)


def reset_connection(req: falcon.Request) -> None:
    """Break the client's connection, so that it receives no response.

    Closing the socket isn't enough: the server's file objects keep it open.
    """
    req.env[_ENV_SOCKET].shutdown(socket.SHUT_RDWR)
