"""Limits how often requests start at upstreams that are, or may be, cold."""

from guavagate.warmup._assembly import limit_starts
from guavagate.warmup._cold import ColdReason, ColdUpstreams
from guavagate.warmup._grants import StartGrants
from guavagate.warmup._holder import StartBudgets
from guavagate.warmup._limiter import WarmupLimiter
from guavagate.warmup._limits import (
    PERMIT_SECONDS,
    WINDOW_SECONDS,
    HolderRole,
    StartLimits,
    WarmupBound,
)
from guavagate.warmup._messages import AskWarmup, WarmupReply
from guavagate.warmup._permits import StartPermits
from guavagate.warmup._sole import SoleProof
from guavagate.warmup._starts import ServiceStarts

__all__ = (
    'PERMIT_SECONDS',
    'WINDOW_SECONDS',
    'AskWarmup',
    'ColdReason',
    'ColdUpstreams',
    'HolderRole',
    'ServiceStarts',
    'SoleProof',
    'StartBudgets',
    'StartGrants',
    'StartLimits',
    'StartPermits',
    'WarmupBound',
    'WarmupLimiter',
    'WarmupReply',
    'limit_starts',
)
