"""Binds requests to the regions of their routes and teams."""

import logging
from typing import Final, Protocol

from guavagate.events import residency as events
from guavagate.events import write
from guavagate.http1 import find_header
from guavagate.metrics import Metrics, names
from guavagate.models import ANYWHERE, Regions, ServiceId
from guavagate.ports.configuration import Route
from guavagate.ports.dialect import Call
from guavagate.residency._bounds import Bound, BoundTable
from guavagate.routing import RouteTable

_LOGGER: Final = logging.getLogger(__name__)


class RequestBounds(Protocol):
    """Determines the regions of each attempt, and reports refusals."""

    def find_regions(self, call: Call, route: Route) -> Regions:
        """Return the regions that a request may use now.

        Never more than `call.regions`, which it was accepted with.
        """

    def record_refusal(
        self, call: Call, route: Route, service: ServiceId
    ) -> None:
        """Record that no upstream is inside the regions of a request."""


class Unbound:
    """Implements `RequestBounds` for requests without a bound."""

    def find_regions(self, call: Call, route: Route) -> Regions:
        """Return the regions that the request has itself."""
        return call.regions

    def record_refusal(
        self, call: Call, route: Route, service: ServiceId
    ) -> None:
        """Record nothing."""


class RequestResidency:
    """Implements `RequestBounds` by the configuration in force."""

    def __init__(
        self, routes: RouteTable, bounds: BoundTable, metrics: Metrics
    ) -> None:
        self._routes = routes
        self._bounds = bounds
        self._metrics = metrics

    def find_regions(self, call: Call, route: Route) -> Regions:
        """Return the regions that a request may use now."""
        if call.regions is ANYWHERE and not self._bounds.names_regions():
            return ANYWHERE
        return self._find_bound(call, route).regions

    def record_refusal(
        self, call: Call, route: Route, service: ServiceId
    ) -> None:
        """Log and count a refused request."""
        self._metrics.count(names.REGION_REFUSALS, kind='request')
        write(
            _LOGGER,
            events.REQUEST_OUTSIDE_REGIONS,
            request=call.id,
            service=service,
            **self._find_bound(call, route).describe(),
        )

    def _find_bound(self, call: Call, route: Route) -> Bound:
        """Return a request's bound; `route` counts if none matches now."""
        host = find_header(call.request.headers, b'host')
        current = self._routes.find(host, call.request.target) or route
        return self._bounds.find_for_request(current, call.team, call.regions)
