"""Options that every TCP connection gets."""

from typing import Final

from gevent import socket

# A connection may go silent for good without a reset, while new ones work.
# Whoever only waits on it would wait for ever; probes by the kernel end it
# after about three seconds, at no cost to the process.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
# Bytes sent that nobody acknowledges: the same silence, seen by a writer.
UNACKNOWLEDGED_MILLIS: Final = 3000


def set_socket_options(sock: socket.socket) -> None:
    """Send small writes at once, and notice a silent peer."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLIS)
