"""Writes requests to upstreams."""

import contextlib
from typing import Final

import h11

from guavagate.exceptions import UpstreamNotStartedError
from guavagate.http1._messages import Request
from guavagate.http1._upstream_socket import UpstreamSocket

# A longer body is sent without a copy of it, after the head.
_JOINED_BYTES: Final = 65_536


def send_request(
    http: h11.Connection, sock: UpstreamSocket, request: Request, body: bytes
) -> None:
    """Send a request; the upstream may respond before all is sent."""
    headers = list(request.headers)
    if body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        headers.append((b'Content-Length', str(len(body)).encode()))
    try:
        head = http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=headers,
            )
        )
        # With a `Content-Length` the body is sent unchanged.
        content = http.send(h11.Data(data=body)) if body else b''
        http.send(h11.EndOfMessage())
    except (h11.LocalProtocolError, UnicodeError) as error:
        raise UpstreamNotStartedError(
            f'the request can not be sent on ({error})',
            'send a request that is valid HTTP/1.1',
        ) from error
    # An upstream may respond and close while a long body is being sent. The
    # write then fails, but the response can still be read. The socket records
    # the failure.
    sock.begin_exchange()
    with contextlib.suppress(OSError):
        if len(body) > _JOINED_BYTES:
            sock.sendall(head)
            sock.sendall(content)
        else:
            sock.sendall(head + content)
