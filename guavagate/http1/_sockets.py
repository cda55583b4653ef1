"""Options of every TCP connection."""

from typing import Final

from gevent import socket

# A connection may stall for good without a reset while new ones work, and a
# reader would wait on it forever. The kernel's keepalive probes end it after
# about three seconds, at no cost to the process.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
# Bounds how long sent data may stay unacknowledged: the same fault, as seen by
# a writer.
UNACKNOWLEDGED_MILLIS: Final = 3000


def set_socket_options(sock: socket.socket) -> None:
    """Send small writes at once, and detect an unresponsive peer."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLIS)
