"""The platform's object API over HTTP."""

from guavagate.integrations.object_api._client import make_store

__all__ = ('make_store',)
