"""Jobs: items submitted together, run later, with results read by position."""

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
from guavagate.jobs._validity import BadJobError, check_items
from guavagate.jobs.ownership import Ownership, OwnerWatch
from guavagate.jobs.records import (
    AnnouncedJobs,
    JobConflictError,
    JobIntake,
    JobReader,
    JobStore,
)
from guavagate.jobs.texts import (
    TextReplicas,
    TextSnapshots,
    compute_message_limit,
)

__all__ = (
    'AnnouncedJobs',
    'BadJobError',
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
    'check_items',
    'compute_message_limit',
)
