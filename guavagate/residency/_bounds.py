"""Looks up the regions of routes and teams in the configuration in force."""

from collections.abc import Iterator, Mapping

import msgspec

from guavagate.models import ANYWHERE, RegionId, Regions, ServiceId, TeamId
from guavagate.ports.configuration import Configuration, Route, RouteKind
from guavagate.residency._regions import combine_regions
from guavagate.routing import RouteTable


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """What binds a request to regions.

    `accepted` are the regions that it was accepted with, for a request whose
    route or team the configuration no longer has.
    """

    route: str = ''
    team: TeamId = TeamId('')
    route_regions: Regions = ANYWHERE
    team_regions: Regions = ANYWHERE
    accepted: Regions = ANYWHERE

    @property
    def regions(self) -> Regions:
        """Return the regions that the request may use."""
        current = combine_regions(self.route_regions, self.team_regions)
        return combine_regions(current, self.accepted)

    def describe(self) -> dict[str, object]:
        """Return the fields of an event."""
        return {
            'route': self.route,
            'team': self.team,
            'route_regions': list_names(self.route_regions),
            'team_regions': list_names(self.team_regions),
        }


class BoundTable:
    """The bounds of the configuration in force."""

    def __init__(self, routes: RouteTable) -> None:
        self._routes = routes
        self._known: Configuration | None = None
        self._teams: dict[TeamId, Regions] = {}
        self._names_regions = False
        self._services: dict[ServiceId, frozenset[Regions]] = {}

    def names_regions(self) -> bool:
        """Return whether a route or team names regions."""
        self._update()
        return self._names_regions

    def find_for_request(
        self, route: Route, team: TeamId, accepted: Regions
    ) -> Bound:
        """Return the bound of a request whose route is known.

        A team that the configuration no longer has binds nothing more; its
        requests are not accepted any more.
        """
        return Bound(
            route=route.name,
            team=team,
            route_regions=route.regions,
            team_regions=self._list_teams().get(team),
            accepted=accepted,
        )

    def find_for_job(
        self, host: str, path: str, team: TeamId, accepted: Regions
    ) -> Bound:
        """Return the bound of a job.

        Where its route or team is gone, the regions that it was accepted with
        hold as well: their removal must not let its body go anywhere.
        """
        route = self._routes.find(host, path)
        teams = self._list_teams()
        known = route is not None and (not team or team in teams)
        return Bound(
            route='' if route is None else route.name,
            team=team,
            route_regions=ANYWHERE if route is None else route.regions,
            team_regions=teams.get(team),
            accepted=ANYWHERE if known else accepted,
        )

    def list_for_service(self, service: ServiceId) -> frozenset[Regions]:
        """Return the regions of each route and team of a service's jobs."""
        self._update()
        if service not in self._services:
            self._services[service] = frozenset(self._combine(service))
        return self._services[service]

    def _combine(self, service: ServiceId) -> Iterator[Regions]:
        teams = self._list_teams()
        for route in self._routes.routes():
            services = {share.service for share in route.shares}
            if route.kind is not RouteKind.JOB or service not in services:
                continue
            if route.open or not self._routes.keys.needed:
                yield route.regions
                continue
            for regions in teams.values():
                yield combine_regions(route.regions, regions)

    def _list_teams(self) -> Mapping[TeamId, Regions]:
        self._update()
        return self._teams

    def _update(self) -> None:
        configuration = self._routes.configuration
        if configuration is self._known or configuration is None:
            return
        self._known = configuration
        self._services = {}
        self._teams = {each.id: each.regions for each in configuration.teams}
        self._names_regions = bool(list_bounds(configuration))


def list_bounds(configuration: Configuration) -> list[frozenset[RegionId]]:
    """Return the regions of each route and team that names any."""
    named = [each.regions for each in configuration.routes]
    named += [each.regions for each in configuration.teams]
    return [each for each in named if each is not None]


def list_names(regions: Regions) -> list[str] | None:
    """Return regions as a log line shows them."""
    return None if regions is None else sorted(regions)
