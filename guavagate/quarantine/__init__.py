"""Stops requests that crash the upstreams that run them.

Such a request returns under new ids, at any instance, and each upstream that
starts to run it ends. Retries, which serve a request whose upstream was lost
by chance, then take one upstream after the other from all other callers.
"""

from guavagate.quarantine._ends import BrokenRun, EndDetector, EndedUpstream
from guavagate.quarantine._identity import RequestIdentity, identify

__all__ = (
    'BrokenRun',
    'EndDetector',
    'EndedUpstream',
    'RequestIdentity',
    'identify',
)
