"""TCP proxy that can delay, reset or stall connections."""

import contextlib
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

_BYTES: Final = 65_536


class Proxy:
    """Forwards connections unless `fault` is set.

    `fault` is empty, delay, reset or silent (connections stay open and stall).
    While there is a `broken_answer`, it is sent in place of what the target
    answers, and the connection ends.
    """

    def __init__(self, address: str, target: str) -> None:
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._target = target
        self.fault = ''
        self.broken_answer = b''
        self._server: StreamServer | None = None
        self._sockets: set[socket.socket] = set()

    @property
    def closed(self) -> bool:
        """Return whether connections are refused."""
        return self._server is None

    def start(self) -> None:
        """Start listening, also after `close`."""
        self._server = StreamServer(self._address, self._serve)
        self._server.start()

    def close(self) -> None:
        """Break all connections and refuse new ones, as if it had crashed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _serve(self, sock: socket.socket, _: object) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            upstream = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            sock.close()
            return
        upstream.settimeout(None)
        self._sockets |= {sock, upstream}
        responses = gevent.spawn(self._pump, upstream, sock, is_answer=True)
        self._pump(sock, upstream)
        responses.join()
        self._sockets -= {sock, upstream}

    def _pump(
        self,
        source: socket.socket,
        target: socket.socket,
        *,
        is_answer: bool = False,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(_BYTES)
                if self.fault == 'reset' or not data:
                    break
                while self.fault == 'silent':
                    gevent.sleep(0.05)
                if self.fault == 'delay':
                    gevent.sleep(0.2)
                if is_answer and self.broken_answer:
                    target.sendall(self.broken_answer)
                    break
                target.sendall(data)
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
