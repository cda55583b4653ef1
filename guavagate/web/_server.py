"""The WSGI server of an instance."""

from typing import Any, Final

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

# A client that sends its headers a byte at a time holds a task and a socket;
# a few thousand of them would use up the instance. Ten seconds is far beyond
# what an honest client needs on the slowest of the brief's links.
HEADER_TIMEOUT: Final = 10.0
# An idle keep-alive connection may wait this long for its next request.
IDLE_TIMEOUT: Final = 75.0
MAX_CONNECTIONS: Final = 4096


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
        with gevent.Timeout(IDLE_TIMEOUT, exception=False):
            return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers within the time limit."""
        with gevent.Timeout(HEADER_TIMEOUT, exception=False):
            return super().read_request(raw_requestline)
        self.close_connection = True
        self.log_error('headers too slow')
        return False


def make_server(app: Any, address: str) -> WSGIServer:
    """Return a server for ``host:port``; port 0 takes a free one."""
    host, _, port = address.rpartition(':')
    return WSGIServer(
        (host, int(port)),
        app,
        spawn=Pool(MAX_CONNECTIONS),
        handler_class=BoundedHandler,
        log=None,
    )
