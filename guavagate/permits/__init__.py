"""Permits: the right to run one piece of work on one upstream."""

from guavagate.permits._choice import (
    PoolChooser,
    estimate_tokens,
    hash_prefixes,
)
from guavagate.permits._client import FailedAttempt, PermitClient
from guavagate.permits._directory import (
    MAX_POOL,
    PoolSpec,
    find_queue_owner,
    find_upstream,
    list_pools,
)
from guavagate.permits._generate import (
    AnswerSource,
    exhaust,
    identify_generation,
    run_speculatively,
    stream_answer,
)
from guavagate.permits._messages import (
    AskPermit,
    HeldPermit,
    HeldPermits,
    Permit,
    PermitReply,
    Release,
    ReleasePermit,
)
from guavagate.permits._owned import OwnedPool
from guavagate.permits._progress import Progress
from guavagate.permits._queue_owner import QueueOwner
from guavagate.permits._reports import ReportReader
from guavagate.permits._service import serve_queue_owner

__all__ = (
    'MAX_POOL',
    'AnswerSource',
    'AskPermit',
    'FailedAttempt',
    'HeldPermit',
    'HeldPermits',
    'OwnedPool',
    'Permit',
    'PermitClient',
    'PermitReply',
    'PoolChooser',
    'QueueOwner',
    'PoolSpec',
    'Progress',
    'Release',
    'ReleasePermit',
    'ReportReader',
    'estimate_tokens',
    'exhaust',
    'find_queue_owner',
    'find_upstream',
    'hash_prefixes',
    'identify_generation',
    'list_pools',
    'run_speculatively',
    'serve_queue_owner',
    'stream_answer',
)
