"""Calls to the platform that one instance makes on behalf of all."""

from guavagate.duties._cluster_clock import ClusterClock
from guavagate.duties._counter import UsageCounter
from guavagate.duties._publisher import UsagePublisher
from guavagate.duties._reporter import UsageReporter
from guavagate.duties._scaler import Scaler
from guavagate.duties._targets import (
    CapacityType,
    UpstreamCounts,
    choose_targets,
)
from guavagate.duties._totals import UsageTotals
from guavagate.duties._usage import UsageAccounting

__all__ = (
    'CapacityType',
    'ClusterClock',
    'Scaler',
    'UpstreamCounts',
    'UsageAccounting',
    'UsageCounter',
    'UsagePublisher',
    'UsageReporter',
    'UsageTotals',
    'choose_targets',
)
