"""Which instance works on a service's jobs, and when another takes over."""

from guavagate.jobs.ownership._owner_watch import OwnerWatch
from guavagate.jobs.ownership._ownership import Ownership

__all__ = (
    'OwnerWatch',
    'Ownership',
)
