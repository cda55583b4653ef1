"""When an instance is ready, and how it stops without cutting a request."""

import logging
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from gevent.event import Event

from guavagate.clock import Clock
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.http1 import Exchange, HttpServer
from guavagate.metrics import Metrics, names

_LOGGER: Final = logging.getLogger(__name__)

# The balancer asks once a second and takes an instance out after two misses.
BALANCER_SECONDS: Final = 2.6
# Of the grace time; the rest is for the process's end on a slow machine.
STOP_SHARE: Final = 0.875


class _Members(Protocol):
    def stop(self) -> None: ...


class Lifecycle:
    """Tells the balancer whether callers may come, and stops as planned.

    Parameters
    ----------
    is_able
        Returns whether callers can be served.
    hand_over
        Leaves work for all to other instances.
    grace
        Seconds between the request to stop and the kill.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        members: _Members,
        is_able: Callable[[], bool],
        hand_over: Callable[[], None],
        grace: float,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._members = members
        self._is_able = is_able
        self._hand_over = hand_over
        self._grace = grace
        self._asked = Event()
        self._stopping = False

    def answer_readiness(self, exchange: Exchange) -> None:
        """Answer the balancer."""
        exchange.read_body(0)
        ready = self._is_able() and not self._stopping
        self._metrics.set_gauge(names.READY, int(ready))
        exchange.respond(200 if ready else 503, [], b'')

    def request_stop(self) -> None:
        """Begin a planned stop; returns at once."""
        self._asked.set()

    def wait_stop_requested(self) -> None:
        """Block until a planned stop is asked for."""
        self._asked.wait()

    def stop(
        self, servers: Sequence[HttpServer], *, behind_balancer: bool
    ) -> None:
        """Stop as planned: cut no request.

        Work for all goes to another instance at once; callers are served until
        the balancer, if it sends any here, has seen that this instance is not
        ready.
        """
        self._stopping = True
        until = self._clock.now() + self._grace * STOP_SHARE
        self._hand_over()
        for server in servers:
            server.announce_stop()
        if behind_balancer:
            self._clock.sleep(BALANCER_SECONDS)
        cut = sum(server.drain(until) for server in servers)
        self._members.stop()
        write(
            _LOGGER,
            events.READINESS_CHANGED,
            ready=False,
            cut=cut,
            stopped=True,
        )
