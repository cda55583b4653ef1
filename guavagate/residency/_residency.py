"""The parts of an instance that bind requests to regions."""

import logging
from typing import Final

from guavagate.events import residency as events
from guavagate.events import write
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, RegionId
from guavagate.residency._bounds import BoundTable, list_bounds
from guavagate.residency._jobs import JobResidency
from guavagate.residency._requests import RequestResidency
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.runtime import Members

_LOGGER: Final = logging.getLogger(__name__)


class Residency:
    """The bounds of requests and jobs at one instance.

    Reports unknown regions of the configuration, and zones of upstreams that
    the settings do not list, once each.
    """

    def __init__(
        self,
        routes: RouteTable,
        upstreams: UpstreamTable,
        members: Members,
        me: InstanceId,
        metrics: Metrics,
    ) -> None:
        self._routes = routes
        self._upstreams = upstreams
        self._bounds = BoundTable(routes)
        self._reported: set[str] = set()
        self.requests = RequestResidency(routes, self._bounds, metrics)
        self.jobs = JobResidency(
            routes, self._bounds, upstreams, members, me, metrics
        )
        routes.subscribe(self._report_unknown)
        upstreams.subscribe(self._report_unknown)

    def _report_unknown(self) -> None:
        configuration = self._routes.configuration
        if configuration is None or not self._bounds.names_regions():
            return
        region_of = self._upstreams.eligibility.region_of
        known = set(region_of.values())
        named = frozenset[RegionId]().union(*list_bounds(configuration))
        regions = named - known
        zones = {
            each.zone
            for each in self._upstreams.registered()
            if each.zone not in region_of
        }
        unknown = regions | zones
        if unknown - self._reported:
            write(
                _LOGGER,
                events.UNKNOWN_REGIONS,
                regions=sorted(regions),
                zones=sorted(zones),
            )
        self._reported = set(unknown)
