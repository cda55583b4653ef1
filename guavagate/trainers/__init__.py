"""The trainers' HTTP interface."""

import falcon

from guavagate.trainers._resources import (
    BatchesResource,
    StepsResource,
    TrainerContext,
    VersionsResource,
)


def add_routes(app: falcon.App, parts: TrainerContext) -> None:
    """Add the trainers' routes."""
    app.add_route('/v1/runs/{run}/versions', VersionsResource(parts))
    app.add_route('/v1/runs/{run}/steps', StepsResource(parts))
    app.add_route('/v1/runs/{run}/batches', BatchesResource(parts))


__all__ = ('TrainerContext', 'add_routes')
