"""Stops requests that crash the upstreams that run them.

Such a request returns under new ids, at any instance, and each upstream that
starts to run it ends. Retries, which serve a request whose upstream was lost
by chance, then take one upstream after the other from all other callers.
"""

from guavagate.quarantine._assembly import follow_store, make_quarantine
from guavagate.quarantine._ends import BrokenRun, EndDetector, EndedUpstream
from guavagate.quarantine._hubs import Hubs
from guavagate.quarantine._identity import RequestContent, RequestIdentity
from guavagate.quarantine._quarantine import Quarantine
from guavagate.quarantine._records import STOPPED_REQUESTS, StoppedRequest

__all__ = (
    'STOPPED_REQUESTS',
    'BrokenRun',
    'EndDetector',
    'EndedUpstream',
    'Hubs',
    'Quarantine',
    'RequestContent',
    'RequestIdentity',
    'StoppedRequest',
    'follow_store',
    'make_quarantine',
)
