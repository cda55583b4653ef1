"""Adds the routes of the operators' API."""

from typing import Final

import falcon

from guavagate.operators import _fleet, _settings
from guavagate.operators._base import OperatorServices

PREFIX: Final = '/v1/operators'


def add_routes(app: falcon.App, services: OperatorServices) -> None:
    """Add all routes; each requires the bearer token of an operator."""
    team = '/settings/{team}'
    routes = {
        '/settings': _settings.TeamsResource(services),
        team: _settings.TeamResource(services),
        f'{team}/check': _settings.CheckResource(services),
        f'{team}/diff': _settings.DiffResource(services),
        f'{team}/history': _settings.HistoryResource(services),
        f'{team}/rollback': _settings.RollbackResource(services),
        f'{team}/status': _settings.StatusResource(services),
        '/instances': _fleet.InstancesResource(services),
        '/instances/{instance}/drain': _fleet.DrainResource(services),
        '/samplers': _fleet.SamplersResource(services),
        '/deployments': _fleet.DeploymentsResource(services),
        '/runs': _fleet.RunsResource(services),
        '/series': _fleet.SeriesResource(services),
        '/explain/{subject:path}': _fleet.ExplainResource(services),
    }
    for path, resource in routes.items():
        app.add_route(PREFIX + path, resource)
