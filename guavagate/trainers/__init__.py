"""HTTP interface for trainers."""

import falcon

from guavagate.trainers._resources import (
    BatchesResource,
    StepsResource,
    TrainerContext,
    VersionsResource,
)


def add_routes(app: falcon.App, context: TrainerContext) -> None:
    """Add the trainers' routes."""
    app.add_route('/v1/runs/{run}/versions', VersionsResource(context))
    app.add_route('/v1/runs/{run}/steps', StepsResource(context))
    app.add_route('/v1/runs/{run}/batches', BatchesResource(context))


__all__ = ('TrainerContext', 'add_routes')
