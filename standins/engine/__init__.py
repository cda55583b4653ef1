"""A model engine as a stand-in."""

from standins.engine._app import make_app
from standins.engine._options import EngineFaults, EngineOptions

__all__ = ('EngineFaults', 'EngineOptions', 'make_app')
