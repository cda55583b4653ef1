"""Partitions: state with one decider, a view and an epoch."""

from guavagate.partitions._local import LocalPartitions
from guavagate.partitions._state import (
    Command,
    Outcome,
    Partitions,
    ReplicatedState,
)

__all__ = (
    'Command',
    'LocalPartitions',
    'Outcome',
    'Partitions',
    'ReplicatedState',
)
