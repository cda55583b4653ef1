"""Reads the bodies of requests, once the instance can serve them."""

import functools
import logging
from collections.abc import Callable
from typing import Final

from guavagate.admission import EntryMemory
from guavagate.clock import Clock
from guavagate.events import edge as events
from guavagate.events import write
from guavagate.forwarding import read_or_refuse, refuse
from guavagate.http1 import Exchange, HttpServer, ServerLimits
from guavagate.routing import RouteTable

_LOGGER: Final = logging.getLogger(__name__)

UNREADY_RETRY_SECONDS: Final = 0.3
# A starting process loads its configuration in a few milliseconds, so callers
# wait. A refused one returns after ten times as long, or not at all.
LOADING_WAIT_SECONDS: Final = 0.1
Handler = Callable[[Exchange], None]

# A body of 3.6 MB held 4.1 times its size more while its job was decoded and
# encoded for the store (a trial).
JOB_COPIES: Final = 5


class BodyReader:
    """Reads bodies within the limits of the configuration and of the memory.

    Parameters
    ----------
    wait_loaded
        Waits for the configuration for so many seconds; returns whether it is
        there.
    """

    def __init__(
        self,
        routes: RouteTable,
        wait_loaded: Callable[[float], bool],
        memory: EntryMemory,
    ) -> None:
        self._routes = routes
        self._wait_loaded = wait_loaded
        self._memory = memory

    def make_server(
        self, address: str, clock: Clock, handle: Handler
    ) -> HttpServer:
        """Return a server, not yet started, that counts its requests."""
        return HttpServer(
            address, clock, handle, self._get_limits, self._memory
        )

    def read(self, exchange: Exchange) -> bytes | None:
        """Return the body, or `None` after refusing the request."""
        loaded = self._wait_loaded(LOADING_WAIT_SECONDS)
        configuration = self._routes.configuration
        if configuration is None or not loaded:
            write(
                _LOGGER,
                events.REFUSED_UNCONFIGURED,
                request=exchange.id,
                loaded=loaded,
            )
            refuse(exchange, 'no configuration yet', UNREADY_RETRY_SECONDS)
            return None
        return read_or_refuse(
            exchange,
            configuration.limits.body_bytes,
            functools.partial(self._memory.refuse_body, exchange.id),
        )

    def _get_limits(self) -> ServerLimits:
        configuration = self._routes.configuration
        return ServerLimits() if configuration is None else configuration.limits

    def admit_job(self, exchange: Exchange, body: bytes) -> bool:
        """Reserve what a job needs while it is decoded and stored.

        Returns
        -------
        bool
            Whether there is memory; if not, the request was refused.
        """
        if exchange.account.admit_copies(len(body) * JOB_COPIES):
            return True
        exchange.keep_open = False
        wait = self._memory.refuse_body(exchange.id)
        refuse(exchange, 'too little memory for the job', wait)
        return False
