"""An entry's server in its own process, with a memory limit, for load tests.

It answers each request with its own body, which is held for a while as if an
upstream worked on it.
"""

import sys

import gevent

from guavagate.admission import EntryMemory
from guavagate.clock import SystemClock
from guavagate.front import BodyReader
from guavagate.http1 import Exchange
from guavagate.metrics import Metrics
from guavagate.ports.configuration import Configuration
from guavagate.routing import RouteTable


def main() -> None:
    """Serve until the process is ended; print the port."""
    routes = RouteTable()
    routes.apply(Configuration(version=1))
    memory = EntryMemory(Metrics(), SystemClock(), float(sys.argv[1]))
    bodies = BodyReader(routes, lambda _: True, memory)

    def handle(exchange: Exchange) -> None:
        body = bodies.read(exchange)
        if body is not None:
            gevent.sleep(0.1)
            exchange.respond(200, [], body)

    server = bodies.make_server('127.0.0.1:0', SystemClock(), handle)
    server.start()
    print(server._server.server_port, flush=True)  # noqa: T201, WPS421
    gevent.sleep(60)


if __name__ == '__main__':
    main()
