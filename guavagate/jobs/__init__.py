"""Jobs: items submitted together, run later, with results read by position."""

from guavagate.jobs._announcements import AnnouncedJobs, JobIntake
from guavagate.jobs._messages import LookupStatus
from guavagate.jobs._models import (
    GroupId,
    ItemId,
    Job,
    JobId,
    JobItem,
    Page,
    PromptPrefix,
    Result,
    ResultState,
)
from guavagate.jobs._owner import JobOwner
from guavagate.jobs._owner_watch import OwnerWatch
from guavagate.jobs._ownership import Ownership
from guavagate.jobs._reader import JobReader
from guavagate.jobs._replicas import TextReplicas, compute_message_limit
from guavagate.jobs._snapshots import TextSnapshots
from guavagate.jobs._store import JobConflictError, JobStore

__all__ = (
    'AnnouncedJobs',
    'GroupId',
    'ItemId',
    'Job',
    'JobId',
    'JobIntake',
    'JobItem',
    'JobOwner',
    'JobReader',
    'JobStore',
    'LookupStatus',
    'JobConflictError',
    'Ownership',
    'OwnerWatch',
    'Page',
    'PromptPrefix',
    'Result',
    'ResultState',
    'TextReplicas',
    'TextSnapshots',
    'compute_message_limit',
)
