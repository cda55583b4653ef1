"""Decisions under load, without I/O; the time is always an argument."""

from guavagate.decisions._policy import PoolSettings
from guavagate.decisions._sampler import (
    PoolSamplerState,
    SamplerInfo,
    SamplerReport,
)
from guavagate.decisions._work import (
    ALL_SAFEGUARDS,
    Decision,
    Placement,
    Queued,
    RefusalReason,
    Refused,
    Safeguard,
    Work,
    WorkKind,
)
from guavagate.decisions.ejection import SLOW_STREAM_FACTOR
from guavagate.decisions.pool import Pool
from guavagate.decisions.pools import PoolView, choose_pool
from guavagate.decisions.tail import decide_weight_swap

__all__ = (
    'ALL_SAFEGUARDS',
    'SLOW_STREAM_FACTOR',
    'Decision',
    'Placement',
    'Pool',
    'PoolSamplerState',
    'PoolSettings',
    'PoolView',
    'Queued',
    'RefusalReason',
    'Refused',
    'Safeguard',
    'SamplerInfo',
    'SamplerReport',
    'Work',
    'WorkKind',
    'choose_pool',
    'decide_weight_swap',
)
