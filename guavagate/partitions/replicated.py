"""The replicated partitions, apart since they need the runtime."""

from guavagate.partitions._replicated import ReplicatedPartitions
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._view import Member, View, find_partition

__all__ = (
    'Member',
    'ReplicatedPartitions',
    'Safeguards',
    'View',
    'find_partition',
)
