"""The operators' routes."""

from typing import Final

import falcon

from guavagate.operators import _fleet, _settings
from guavagate.operators._base import OperatorServices

PREFIX: Final = '/v1/operators'


def add_routes(app: falcon.App, parts: OperatorServices) -> None:
    """Add every operators' route; all ask for an operator's bearer token."""
    team = '/settings/{team}'
    routes = {
        '/settings': _settings.TeamsResource(parts),
        team: _settings.TeamResource(parts),
        f'{team}/check': _settings.CheckResource(parts),
        f'{team}/diff': _settings.DiffResource(parts),
        f'{team}/history': _settings.HistoryResource(parts),
        f'{team}/rollback': _settings.RollbackResource(parts),
        f'{team}/status': _settings.StatusResource(parts),
        '/instances': _fleet.InstancesResource(parts),
        '/instances/{instance}/drain': _fleet.DrainResource(parts),
        '/samplers': _fleet.SamplersResource(parts),
        '/deployments': _fleet.DeploymentsResource(parts),
        '/runs': _fleet.RunsResource(parts),
        '/series': _fleet.SeriesResource(parts),
        '/explain/{subject:path}': _fleet.ExplainResource(parts),
    }
    for path, resource in routes.items():
        app.add_route(PREFIX + path, resource)
