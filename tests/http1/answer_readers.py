"""Both clients of the product, asked by raw bytes of an upstream."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final

from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.http1 import ConnectionPool, Request
from guavagate.integrations._http import Connections

LIMIT_SECONDS: Final = 5.0

# Sends a request with a body to an address; returns the answer's status and
# body, or raises an `UpstreamError`.
Reader = Callable[[str, bytes], tuple[int, bytes]]


def read_by_pool(address: str, body: bytes = b'') -> tuple[int, bytes]:
    """Read an answer as requests, items, probes and the store do."""
    pool = ConnectionPool(SystemClock())
    request = Request('POST', '/', [(b'Host', b'x')])
    answer, content = pool.fetch(address, request, body, timeout=LIMIT_SECONDS)
    return answer.status, content


def read_by_library(address: str, body: bytes = b'') -> tuple[int, bytes]:
    """Read an answer as the adapters of the product's own ports do."""
    connections = Connections(SystemClock())
    answer = connections.send(
        address, 'POST', '/', body=body, timeout=LIMIT_SECONDS
    )
    content = connections.read(address, answer, LIMIT_SECONDS)
    return answer.status_code, content


READERS: Final = {'pool': read_by_pool, 'library': read_by_library}


@contextlib.contextmanager
def serve_bytes(*parts: bytes) -> Iterator[str]:
    """Send the same bytes to each request, then close; yield the address."""

    def serve(sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        with contextlib.suppress(OSError):
            for part in parts:
                sock.sendall(part)
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    yield f'127.0.0.1:{server.server_port}'
    server.stop(0)
