"""Speaks to the platform's object API over HTTP.

Its client over HTTP is a module of its own: the library behind it takes a sixth
of a start, and a process that reaches the store another way does without it.
"""

from guavagate.integrations.object_api._call_metrics import measure_calls
from guavagate.integrations.object_api._client import ObjectApi
from guavagate.integrations.object_api._peers import PeerFallback
from guavagate.integrations.object_api._retrying_client import (
    Rates,
    RetryingClient,
    make_shared_client,
)
from guavagate.integrations.object_api.models import Priority

__all__ = (
    'RetryingClient',
    'ObjectApi',
    'PeerFallback',
    'Priority',
    'Rates',
    'make_shared_client',
    'measure_calls',
)
