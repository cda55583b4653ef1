"""The active configuration, with routes by host and longest prefix."""

import logging
from collections.abc import Callable, Iterable
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
    """Stores the newest configuration; never returns to an older one."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.keys = KeyRing()
        self._by_host: dict[str, list[Route]] = {}
        self._services: dict[ServiceId, Service] = {}
        self._former_job_services: dict[ServiceId, None] = {}
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not block, after each change."""
        self._subscribers.append(callback)

    def apply(self, configuration: Configuration) -> bool:
        """Activate a configuration unless it is outdated; return whether.

        A lagging replica of the store, or a peer that was partitioned, may
        offer an earlier configuration: callers would see a change undone.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=_get_prefix_length, reverse=True)
        self._by_host = by_host
        self._services = {each.id: each for each in configuration.services}
        self.keys = KeyRing(configuration.teams)
        routed = _list_job_services(self.routes())
        self.configuration = configuration
        self.add_former_job_services(routed)
        write(
            _LOGGER,
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            before=None if current is None else current.version,
            routes=len(configuration.routes),
        )
        for callback in self._subscribers:
            callback()
        return True

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or None if no route matches."""
        path = target.partition('?')[0]
        name = host.rpartition(':')[0] if ':' in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, service: ServiceId) -> Service | None:
        """Return a service's configuration, or None if there is none."""
        return self._services.get(service)

    def routes(self) -> tuple[Route, ...]:
        """Return all active routes."""
        if self.configuration is None:
            return ()
        return self.configuration.routes

    def hosts(self) -> frozenset[str]:
        """Return the hosts that have a route, in lower case."""
        return frozenset(self._by_host)

    def job_services(self) -> list[ServiceId]:
        """Return the services that may have open jobs.

        They are those of all job routes, then those whose routes have moved.
        """
        routed = _list_job_services(self.routes())
        return [*routed, *self._former_job_services]

    def former_job_services(self) -> list[ServiceId]:
        """Return the services that had job routes and have none any more."""
        return list(self._former_job_services)

    def add_former_job_services(self, services: Iterable[ServiceId]) -> None:
        """Add services that had job routes, unless they have some now."""
        former = {**self._former_job_services, **dict.fromkeys(services)}
        for service in _list_job_services(self.routes()):
            former.pop(service, None)
        self._former_job_services = former

    def forget_former_job_service(self, service: ServiceId) -> None:
        """Forget a service without job routes, as it has no open jobs."""
        self._former_job_services.pop(service, None)


def _list_job_services(routes: Iterable[Route]) -> list[ServiceId]:
    services = (
        share.service
        for route in routes
        if route.kind is RouteKind.JOB
        for share in route.shares
    )
    return list(dict.fromkeys(services))


def _get_prefix_length(route: Route) -> int:
    return len(route.prefix)


def pick_service(route: Route, request_id: str) -> ServiceId:
    """Return the service of a split route, always the same for a request id."""
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh64_intdigest(request_id.encode()) % max(total, 1)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
