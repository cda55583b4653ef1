"""Client for model engines over HTTP with server-sent events."""

from guavagate.integrations.model_engine._client import HttpModelEngine
from guavagate.integrations.model_engine.models import (
    CacheEvent,
    compute_prefix_ids,
)

__all__ = ('CacheEvent', 'HttpModelEngine', 'compute_prefix_ids')
