"""The configuration in force: routes by host and longest prefix."""

import logging
from collections.abc import Callable
from typing import Final

import xxhash

from guavagate.auth import KeyRing
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.models import ServiceId
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
)

_LOGGER: Final = logging.getLogger(__name__)


class RouteTable:
    """Holds the newest configuration seen; it never goes back."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.keys = KeyRing()
        self._by_host: dict[str, list[Route]] = {}
        self._services: dict[ServiceId, Service] = {}
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back, without blocking, after each change."""
        self._subscribers.append(changed)

    def apply(self, configuration: Configuration) -> bool:
        """Put a configuration in force; an older one is refused.

        A lagging copy of the store, or a peer that was cut off, may offer
        what was in force before: callers would see a change undone.
        """
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=_measure_prefix, reverse=True)
        self._by_host = by_host
        self._services = {each.id: each for each in configuration.services}
        self.keys = KeyRing(configuration.teams)
        self.configuration = configuration
        write(
            _LOGGER,
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            before=None if held is None else held.version,
            routes=len(configuration.routes),
        )
        for changed in self._subscribers:
            changed()
        return True

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or nothing."""
        path = target.partition('?')[0]
        name = host.rpartition(':')[0] if ':' in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, service: ServiceId) -> Service | None:
        """Return a service's description, or nothing."""
        return self._services.get(service)

    def routes(self) -> tuple[Route, ...]:
        """Return all routes in force."""
        if self.configuration is None:
            return ()
        return self.configuration.routes

    def hosts(self) -> frozenset[str]:
        """Return the hosts that have a route, in lower case."""
        return frozenset(self._by_host)

    def job_services(self) -> list[ServiceId]:
        """Return the services that jobs may go to."""
        services = (
            share.service
            for route in self.routes()
            if route.kind is RouteKind.JOB
            for share in route.shares
        )
        return list(dict.fromkeys(services))


def _measure_prefix(route: Route) -> int:
    return len(route.prefix)


def pick_service(route: Route, request_id: str) -> ServiceId:
    """Return the service of a split route, the same for one request id."""
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh64_intdigest(request_id.encode()) % max(total, 1)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
