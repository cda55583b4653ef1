"""Forwarding of requests to upstreams, with retries where allowed."""

from guavagate.forwarding._answers import (
    STOPPED_RETRY_SECONDS,
    read_or_refuse,
    refuse,
    send_outcome,
    send_text,
)
from guavagate.forwarding._attempt import Attempt, AttemptRunner, AttemptState
from guavagate.forwarding._forward import Forwarder
from guavagate.forwarding._forwarders import (
    Fleet,
    Forwarders,
    make_fleet_forwarders,
    make_forwarders,
    make_outage_detector,
    make_upstream_table,
)
from guavagate.forwarding._guard import RequestGuard
from guavagate.forwarding._notices import ServiceNotice, ServiceNotices
from guavagate.forwarding._outages import OutageDetector
from guavagate.forwarding._outcome import Outcome, OutcomeKind, log_outcome
from guavagate.forwarding._probes import (
    Probe,
    Prober,
    ProbeResult,
    ProbeState,
)
from guavagate.forwarding._rewards import RewardForwarder
from guavagate.forwarding._stream import StreamForwarder

__all__ = (
    'STOPPED_RETRY_SECONDS',
    'Attempt',
    'AttemptRunner',
    'AttemptState',
    'Fleet',
    'Forwarder',
    'Forwarders',
    'OutageDetector',
    'Outcome',
    'OutcomeKind',
    'Probe',
    'ProbeResult',
    'ProbeState',
    'Prober',
    'RequestGuard',
    'RewardForwarder',
    'ServiceNotice',
    'ServiceNotices',
    'StreamForwarder',
    'log_outcome',
    'make_fleet_forwarders',
    'make_forwarders',
    'make_outage_detector',
    'make_upstream_table',
    'read_or_refuse',
    'refuse',
    'send_outcome',
    'send_text',
)
