"""Partitions: state with one decider, kept as one record in the store."""

from guavagate.partitions._local import LocalPartitions
from guavagate.partitions._state import (
    Command,
    Outcome,
    Partitions,
    PartitionState,
)

__all__ = (
    'Command',
    'LocalPartitions',
    'Outcome',
    'PartitionState',
    'Partitions',
)
