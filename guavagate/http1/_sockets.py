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


# Bounds what the kernel holds of a caller's unread data, which counts as memory
# of the process. The kernel doubles it; at a round trip of 1.4 ms it still
# allows 180 MB/s.
CALLER_RECEIVE_BYTES: Final = 131_072
# The same for data that a caller does not read. By itself the kernel raises it
# to some megabytes for each connection.
CALLER_SEND_BYTES: Final = 131_072


def set_caller_options(sock: socket.socket) -> None:
    """Set the options of a caller's connection."""
    set_socket_options(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_RECEIVE_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_SEND_BYTES)


def limit_unacknowledged(sock: socket.socket, seconds: float) -> None:
    """Set how long the peer may accept no data, or not answer a probe.

    The kernel takes a peer that reads nothing for unresponsive, even one that
    answers its probes. No limit is shorter than the usual one.
    """
    millis = max(int(seconds * 1000), UNACKNOWLEDGED_MILLIS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, millis)


def set_socket_options(sock: socket.socket) -> None:
    """Send small writes at once, and detect an unresponsive peer."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLIS)
