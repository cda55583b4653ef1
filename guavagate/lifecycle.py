"""Reports an instance's readiness and stops it without cutting a request."""

import logging
from collections.abc import Callable, Sequence
from typing import Final, Protocol, TypeVar

from gevent.event import Event

from guavagate.clock import Clock
from guavagate.events import edge as edge_events
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import SettingsError
from guavagate.http1 import Exchange, HttpServer
from guavagate.metrics import Metrics, names

_LOGGER: Final = logging.getLogger(__name__)

# The balancer probes once a second and removes an instance after two failures.
BALANCER_REACTION_SECONDS: Final = 2.6
# Share of the grace period for draining; the rest is for ending the process on
# a slow machine.
DRAIN_SHARE: Final = 0.875


_Settings = TypeVar('_Settings')


class _Members(Protocol):
    def stop(self) -> None: ...


class Lifecycle:
    """Answers the balancer's readiness probes and runs a planned stop.

    Parameters
    ----------
    can_serve
        Returns whether this instance can serve callers.
    hand_over
        Hands work for the whole fleet over to other instances.
    grace
        Seconds between the stop request and the kill.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        members: _Members,
        can_serve: Callable[[], bool],
        hand_over: Callable[[], None],
        grace: float,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._members = members
        self._can_serve = can_serve
        self._hand_over = hand_over
        self._grace = grace
        self._stop_requested = Event()
        self._stopping = False

    def answer_readiness(self, exchange: Exchange) -> None:
        """Answer a readiness probe of the balancer."""
        exchange.read_body(0)
        ready = self._can_serve() and not self._stopping
        self._metrics.set_gauge(names.READY, int(ready))
        exchange.respond(200 if ready else 503, [], b'')

    def request_stop(self) -> None:
        """Start a planned stop without waiting for it."""
        self._stop_requested.set()

    def wait_stop_requested(self) -> None:
        """Block until a planned stop is requested."""
        self._stop_requested.wait()

    def stop(
        self, servers: Sequence[HttpServer], *, behind_balancer: bool
    ) -> None:
        """Stop without cutting a request.

        Work for the whole fleet moves to other instances at once. Behind a
        balancer, callers are served until it has seen that this instance isn't
        ready.
        """
        self._stopping = True
        drain_until = self._clock.now() + self._grace * DRAIN_SHARE
        self._hand_over()
        for server in servers:
            server.announce_stop()
        if behind_balancer:
            self._clock.sleep(BALANCER_REACTION_SECONDS)
        cut = sum(server.drain(drain_until) for server in servers)
        self._members.stop()
        write(
            _LOGGER,
            events.READINESS_CHANGED,
            ready=False,
            cut=cut,
            stopped=True,
        )


def reload(
    load: Callable[[str], _Settings], path: str, current: _Settings
) -> _Settings:
    """Return the settings of a file, or the current ones if it is invalid."""
    try:
        settings = load(path)
    except SettingsError as error:
        write(_LOGGER, edge_events.SETTINGS_UNREADABLE, problem=str(error))
        return current
    write(_LOGGER, edge_events.SETTINGS_RELOADED)
    return settings
