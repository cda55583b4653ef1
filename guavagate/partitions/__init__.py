"""Partitions: state with one decider, a view and an epoch."""

from guavagate.partitions._local import LocalPartitions
from guavagate.partitions._state import (
    Command,
    CopiesLost,
    Outcome,
    Partitions,
    ReplicatedState,
)

__all__ = (
    'Command',
    'CopiesLost',
    'LocalPartitions',
    'Outcome',
    'Partitions',
    'ReplicatedState',
)
