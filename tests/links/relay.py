"""A TCP relay that drops the state of connections, as a network device may."""

import contextlib

from gevent import Greenlet, socket, spawn
from gevent.event import Event
from gevent.server import StreamServer


class Relay:
    """Forwards in both directions until `stall_connections` is called.

    Tests may change `backend`; later connections go there.
    """

    def __init__(self, backend: str) -> None:
        self.backend = backend
        self.connections = 0
        self._stopped = Event()
        self._forwarders: list[Greenlet] = []
        self._server = StreamServer(('127.0.0.1', 0), self._accept)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def stall_connections(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        for forwarder in self._forwarders:
            forwarder.kill()

    def stop(self) -> None:
        """Close the relay."""
        self.stall_connections()
        self._stopped.set()
        self._server.stop()

    def _accept(self, client: socket.socket, address: object) -> None:
        host, port = self.backend.split(':')
        try:
            backend = socket.create_connection((host, int(port)))
        except OSError:
            client.close()
            return
        self.connections += 1
        self._forwarders += [
            spawn(_forward, client, backend),
            spawn(_forward, backend, client),
        ]
        self._stopped.wait()  # The server closes the client on return.


def _forward(source: socket.socket, target: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            target.sendall(data)
    source.close()
    target.close()
