"""Stand-in for the platform's object API and instance list."""

from standins.object_api._app import ObjectApiOptions, make_app
from standins.object_api._store import Store

__all__ = ('ObjectApiOptions', 'Store', 'make_app')
