"""Client for the platform's object API.

The package does not import `transport`: loading its HTTP library takes a sixth
of the start time, and a process with another transport does not need it.
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
