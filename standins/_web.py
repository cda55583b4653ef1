"""What the stand-ins' web applications share: routes, servers, faults."""

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
    """Hands the connection to the application, which may reset it."""

    def handle(self) -> None:
        """Send each piece at once.

        Otherwise a streamed piece waits until the client has acknowledged the
        one before it, which clients delay by 40 ms.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the environment."""
        env = super().get_environ()
        env[_ENV_SOCKET] = self.socket
        return env


class Server:
    """One running stand-in.

    Parameters
    ----------
    app
        A WSGI application.
    port
        0 for any free one.
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
        """Close the socket and cut what runs."""
        self._server.stop(timeout=0)

    def wait(self) -> None:
        """Serve until the process ends."""
        gevent.wait()


def serve(app: falcon.App, port: int = 0) -> Server:
    """Start an application on the loopback address."""
    return Server(app, port)


def route(app: falcon.App, template: str, **responders: Responder) -> None:
    """Route methods, named in lower case, to plain functions."""
    members = {
        f'on_{method}': staticmethod(responder)
        for method, responder in responders.items()
    }
    app.add_route(template, type('Resource', (), members)())


def read_json(req: falcon.Request, kind: Any = dict) -> Any:
    """Return the decoded body, or answer 400."""
    data = req.bounded_stream.read()
    try:
        return msgspec.json.decode(data or b'{}', type=kind)
    except msgspec.MsgspecError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error


def write_json(resp: falcon.Response, answer: Any, status: int = 200) -> None:
    """Answer with JSON."""
    resp.status = status
    resp.content_type = 'application/json'
    resp.data = msgspec.json.encode(answer)


def write_error(resp: falcon.Response, status: int, code: str) -> None:
    """Answer with an error code."""
    write_json(resp, {'error': {'code': code, 'message': code}}, status)


def reset_connection(req: falcon.Request) -> None:
    """Break the caller's connection, so that it gets no answer.

    The server's files keep the socket open over a mere close.
    """
    req.env[_ENV_SOCKET].shutdown(socket.SHUT_RDWR)
