"""Replicated state in partitions, each led by one primary instance."""

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
