"""Stand-in for a model engine."""

from standins.engine._app import make_app
from standins.engine._options import EngineFaults, EngineOptions

__all__ = ('EngineFaults', 'EngineOptions', 'make_app')
