"""The WSGI server of an instance, with limits on its connections."""

from typing import Any, Final

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from guavagate.exceptions import RefusalError
from guavagate.helpers.numbers import parse_whole_number
from guavagate.web._errors import encode_refusal

# Seconds. A client that sends its headers byte by byte occupies a task and a
# socket; a few thousand of them would exhaust the instance. An ordinary client
# needs far less on the slowest supported link.
HEADER_TIMEOUT: Final = 10.0
# Seconds that an idle keep-alive connection may wait for its next request.
IDLE_TIMEOUT: Final = 75.0
MAX_CONNECTIONS: Final = 4096
_STATUS_LINES: Final = {408: '408 Request Timeout'}


class BoundedServer(WSGIServer):
    """A server with time limits for its connections, in seconds."""

    header_timeout = HEADER_TIMEOUT
    idle_timeout = IDLE_TIMEOUT


class BoundedHandler(WSGIHandler):
    """Closes connections whose headers do not arrive in time."""

    def handle(self) -> None:
        """Serve a connection with Nagle's algorithm disabled.

        Otherwise a streamed event waits until the caller acknowledges the
        previous one, and callers delay that by up to 40 ms.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> Any:
        """Wait for a request line until the idle timeout."""
        with gevent.Timeout(self.server.idle_timeout, exception=False):
            return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers within the time limit, and check the framing."""
        with gevent.Timeout(self.server.header_timeout, exception=False):
            result = super().read_request(raw_requestline)
            _check_framing(self.headers)
            return result
        raise RefusalError(
            'the headers did not come in time',
            'send all headers of a request at once',
            reason='headers_too_slow',
            status=408,
        )

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return a refusal for input that is not a valid request."""
        if isinstance(ex, RefusalError):
            return _encode_answer(ex)
        return _encode_answer(
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
    """Return a server for ``host:port``; port 0 selects a free port.

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
    """Refuse a request whose body length is ambiguous.

    The load balancer and the WSGI server could disagree where the body ends,
    and parse the rest of it as another caller's request (request smuggling).
    """
    codings = headers.get_all('Transfer-Encoding') or []
    lengths = headers.get_all('Content-Length') or []
    numeric = all(parse_whole_number(one) is not None for one in lengths)
    supported = not codings or [one.lower() for one in codings] == ['chunked']
    if supported and numeric and len(lengths) < 2:
        return
    raise RefusalError(
        'the length of the body is not plain',
        'send one Content-Length in digits, or `Transfer-Encoding: chunked`',
        reason='malformed_request',
        status=400,
    )


def _encode_answer(refusal: RefusalError) -> tuple[str, bytes]:
    """Return a complete answer, after which the connection is closed."""
    body = encode_refusal(refusal)
    line = _STATUS_LINES.get(refusal.status, '400 Bad Request')
    head = (
        f'HTTP/1.1 {line}\r\nConnection: close\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}'
    )
    return str(refusal.status), b'%b\r\n\r\n%b' % (head.encode(), body)
