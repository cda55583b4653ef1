"""The WSGI server of an instance."""

from typing import Any, Final

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from guavagate.exceptions import RefusalError
from guavagate.web._errors import encode_refusal

# A client that sends its headers a byte at a time holds a task and a socket;
# a few thousand of them would use up the instance. Ten seconds is far beyond
# what an honest client needs on the slowest of the brief's links.
HEADER_TIMEOUT: Final = 10.0
# An idle keep-alive connection may wait this long for its next request.
IDLE_TIMEOUT: Final = 75.0
MAX_CONNECTIONS: Final = 4096
_STATUS_LINES: Final = {408: '408 Request Timeout'}


class BoundedServer(WSGIServer):
    """A server that says how long its connections may wait, in seconds."""

    header_timeout = HEADER_TIMEOUT
    idle_timeout = IDLE_TIMEOUT


class BoundedHandler(WSGIHandler):
    """Closes a connection whose headers do not come in time."""

    def handle(self) -> None:
        """Serve a connection without holding small writes back.

        Otherwise a streamed event waits until the caller has acknowledged the
        one before it, and callers delay that by up to 40 ms.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> Any:
        """Wait for the first byte of a request, then bound its headers."""
        with gevent.Timeout(self.server.idle_timeout, exception=False):
            return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers within the time limit, and check the framing."""
        with gevent.Timeout(self.server.header_timeout, exception=False):
            read = super().read_request(raw_requestline)
            _check_framing(self.headers)
            return read
        raise RefusalError(
            'the headers did not come in time',
            'send all headers of a request at once',
            reason='headers_too_slow',
            status=408,
        )

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return a refusal for what is no request at all."""
        if isinstance(ex, RefusalError):
            return _render(ex)
        return _render(
            RefusalError(
                'the request line or a header is malformed',
                'send a request as RFC 9112 has it',
                reason='malformed_request',
                status=400,
            )
        )


def make_server(
    app: Any, address: str, header_timeout: float = HEADER_TIMEOUT
) -> WSGIServer:
    """Return a server for ``host:port``; port 0 takes a free one.

    Parameters
    ----------
    header_timeout
        Seconds from a request's first line to the end of its headers.
    """
    host, _, port = address.rpartition(':')
    server = BoundedServer(
        (host, int(port)),
        app,
        spawn=Pool(MAX_CONNECTIONS),
        handler_class=BoundedHandler,
        log=None,
    )
    server.header_timeout = header_timeout
    return server


def _check_framing(headers: Any) -> None:
    """Refuse a body whose end two readers may see at different places.

    The balancer and the server beneath us could then take the rest of one
    caller's body for another caller's request.
    """
    codings = headers.get_all('Transfer-Encoding') or []
    lengths = headers.get_all('Content-Length') or []
    plain = all(one.isascii() and one.isdigit() for one in lengths)
    chunked = not codings or [one.lower() for one in codings] == ['chunked']
    if chunked and plain and len(lengths) < 2:
        return
    raise RefusalError(
        'the length of the body is not plain',
        'send one Content-Length in digits, or `Transfer-Encoding: chunked`',
        reason='malformed_request',
        status=400,
    )


def _render(refusal: RefusalError) -> tuple[str, bytes]:
    """Return a whole answer, after which the connection is closed."""
    body = encode_refusal(refusal)
    line = _STATUS_LINES.get(refusal.status, '400 Bad Request')
    head = (
        f'HTTP/1.1 {line}\r\nConnection: close\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}'
    )
    return str(refusal.status), b'%b\r\n\r\n%b' % (head.encode(), body)
