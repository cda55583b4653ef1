"""Speaks to the platform's object API over HTTP."""

from guavagate.integrations.object_api._client import ObjectApi
from guavagate.integrations.object_api._platform import (
    connect_platform,
    make_store,
    read_credential,
)
from guavagate.integrations.object_api._transport import connect_http
from guavagate.integrations.object_api.models import Priority, Transport

__all__ = (
    'ObjectApi',
    'Priority',
    'Transport',
    'connect_http',
    'connect_platform',
    'make_store',
    'read_credential',
)
