"""Partitions in the store; a separate module as they need the runtime."""

from guavagate.partitions._record import find_partition
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._stored import OwnedPartition, StoredPartitions

__all__ = (
    'OwnedPartition',
    'Safeguards',
    'StoredPartitions',
    'find_partition',
)
