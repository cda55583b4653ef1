"""Requests passed on to upstreams, repeated only where that is allowed."""

from guavagate.forwarding._answers import (
    answer,
    read_or_refuse,
    refuse,
    say,
)
from guavagate.forwarding._attempt import Attempt, Attempts, AttemptState
from guavagate.forwarding._forward import (
    Forwarder,
    Outcome,
    OutcomeKind,
    log_outcome,
)
from guavagate.forwarding._rewards import RewardForwarder
from guavagate.forwarding._stream import StreamForwarder

__all__ = (
    'Attempt',
    'AttemptState',
    'Attempts',
    'Forwarder',
    'Outcome',
    'OutcomeKind',
    'RewardForwarder',
    'StreamForwarder',
    'answer',
    'log_outcome',
    'read_or_refuse',
    'refuse',
    'say',
)
