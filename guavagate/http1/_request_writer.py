"""Writes requests to upstreams."""

from typing import Final

import h11
from gevent import socket

from guavagate.exceptions import UpstreamNotStartedError
from guavagate.http1._messages import Request

# A longer body is sent without a copy of it, after the head.
_JOINED_BYTES: Final = 65_536


def send_request(
    http: h11.Connection, sock: socket.socket, request: Request, body: bytes
) -> bool:
    """Send a request; the upstream may respond before all is sent.

    Returns
    -------
    bool
        Whether all was written. If not, the connection is broken, but the
        upstream may have responded before.
    """
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
    except h11.LocalProtocolError as error:
        raise UpstreamNotStartedError(
            f'the request can not be sent on ({error})',
            'send a request that is valid HTTP/1.1',
        ) from error
    try:
        if len(body) > _JOINED_BYTES:
            sock.sendall(head)
            sock.sendall(content)
        else:
            sock.sendall(head + content)
    except OSError:
        return False
    return True
