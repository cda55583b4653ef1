"""Speaks to model engines over HTTP with server-sent events."""

from guavagate.integrations.model_engine._client import HttpModelEngine
from guavagate.integrations.model_engine.models import CacheEvent, prefix_ids

__all__ = ('CacheEvent', 'HttpModelEngine', 'prefix_ids')
