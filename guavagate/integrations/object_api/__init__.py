"""Speaks to the platform's object API over HTTP."""

from guavagate.integrations.object_api._client import ObjectApi
from guavagate.integrations.object_api._transport import connect_http
from guavagate.integrations.object_api.models import Priority

__all__ = ('ObjectApi', 'Priority', 'connect_http')
