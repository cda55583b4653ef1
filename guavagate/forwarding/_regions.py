"""Binds each attempt to regions, and refuses requests without upstreams."""

from typing import Protocol

import msgspec

from guavagate.forwarding._outcome import (
    Outcome,
    OutcomeKind,
    describe_obstacle,
)
from guavagate.models import ANYWHERE, Regions, ServiceId
from guavagate.ports.configuration import Route
from guavagate.ports.dialect import Call
from guavagate.residency import (
    OUTSIDE_RETRY_SECONDS,
    RequestBounds,
    Unbound,
)
from guavagate.routing import Obstacle


class _Upstreams(Protocol):
    def explain(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> Obstacle | None:
        """Return why a request may use no upstream of a service, if so."""

    def compute_retry_after(self, service: ServiceId) -> float:
        """Return when a caller refused by the whole service should return."""


class RegionGate:
    """Applies the regions in force to the attempts of requests."""

    def __init__(
        self, upstreams: _Upstreams, bounds: RequestBounds | None
    ) -> None:
        self._upstreams = upstreams
        self._bounds = bounds or Unbound()

    def bind(self, call: Call, route: Route) -> Call:
        """Return a call with the regions that it may use now.

        Called for each attempt: the configuration may have changed since a
        request waited for a slot, or since its stream broke.
        """
        regions = self._bounds.find_regions(call, route)
        if regions == call.regions:
            return call
        return msgspec.structs.replace(call, regions=regions)

    def refuse(
        self, call: Call, route: Route, service: ServiceId
    ) -> Outcome | None:
        """Return the refusal of a request without an upstream in its regions.

        `None` if there is one, whether or not it is free.
        """
        regions = self.bind(call, route).regions
        if regions is None:
            return None
        obstacle = self._upstreams.explain(service, regions)
        if obstacle is not Obstacle.OUTSIDE_REGIONS:
            return None
        self._bounds.record_refusal(call, route, service)
        # Upstreams inside may register at any moment; a contradiction lasts
        # until another configuration is in force.
        retry_after = OUTSIDE_RETRY_SECONDS
        if regions:
            retry_after = self._upstreams.compute_retry_after(service)
        return Outcome(
            OutcomeKind.NOT_RUN,
            reason=describe_obstacle(obstacle),
            retry_after=retry_after,
        )
