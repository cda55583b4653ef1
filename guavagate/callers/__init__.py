"""HTTP interface for callers."""

import re

import falcon

from guavagate.callers._completions import (
    ChatResource,
    CompletionContext,
    CompletionsResource,
)
from guavagate.callers._idempotency import make_attempt_id
from guavagate.callers._services import ServiceContext, ServicesSink

SERVICE_ROUTE = re.compile(
    r'^/v1/services/(?P<service>[^/]+)/?(?P<path>.*)$', re.DOTALL
)


def add_routes(
    app: falcon.App, completions: CompletionContext, services: ServiceContext
) -> None:
    """Add the callers' routes."""
    app.add_route('/v1/completions', CompletionsResource(completions))
    app.add_route('/v1/chat/completions', ChatResource(completions))
    app.add_sink(ServicesSink(services), SERVICE_ROUTE)


__all__ = (
    'CompletionContext',
    'ServiceContext',
    'add_routes',
    'make_attempt_id',
)
