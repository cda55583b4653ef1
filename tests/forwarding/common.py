"""Starts upstreams for tests that exchange raw bytes over real sockets."""

from collections.abc import Callable

from gevent import socket
from gevent.server import StreamServer

from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream

Serve = Callable[[socket.socket, object], None]


def start_upstream(
    name: str, zone: str, serve: Serve
) -> tuple[StreamServer, Upstream]:
    """Start an upstream; return its server and its registration."""
    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    upstream = Upstream(
        id=UpstreamId(name),
        service=ServiceId('s'),
        address=f'127.0.0.1:{server.server_port}',
        zone=ZoneId(zone),
        slots=4,
    )
    return server, upstream
