"""Forwarding of requests to upstreams, with retries where allowed."""

from guavagate.forwarding._answers import (
    read_or_refuse,
    refuse,
    send_outcome,
    send_text,
)
from guavagate.forwarding._attempt import Attempt, AttemptRunner, AttemptState
from guavagate.forwarding._forward import Forwarder
from guavagate.forwarding._forwarders import Forwarders, make_forwarders
from guavagate.forwarding._guard import RequestGuard
from guavagate.forwarding._outcome import Outcome, OutcomeKind, log_outcome
from guavagate.forwarding._preferred import PreferredUpstreams, prefer
from guavagate.forwarding._rewards import RewardForwarder
from guavagate.forwarding._stream import StreamForwarder

__all__ = (
    'Attempt',
    'AttemptRunner',
    'AttemptState',
    'Forwarder',
    'Forwarders',
    'Outcome',
    'OutcomeKind',
    'PreferredUpstreams',
    'RequestGuard',
    'RewardForwarder',
    'StreamForwarder',
    'log_outcome',
    'make_forwarders',
    'prefer',
    'read_or_refuse',
    'refuse',
    'send_outcome',
    'send_text',
)
