"""Client for the upstreams of plain services over HTTP."""

from guavagate.integrations.plain_service._client import HttpPlainService

__all__ = ('HttpPlainService',)
