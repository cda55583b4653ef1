"""Speaks to the platform's object API over HTTP.

Its client over HTTP is a module of its own: the library behind it takes a sixth
of a start, and a process that reaches the store another way does without it.
"""

from guavagate.integrations.object_api._caller import Caller, Rates, share_rates
from guavagate.integrations.object_api._client import ObjectApi
from guavagate.integrations.object_api._peers import PeerRoute
from guavagate.integrations.object_api._timed import time_calls
from guavagate.integrations.object_api.models import Priority

__all__ = (
    'Caller',
    'ObjectApi',
    'PeerRoute',
    'Priority',
    'Rates',
    'share_rates',
    'time_calls',
)
