"""Admission control at entries: memory, fair shares and priorities."""

from guavagate.admission._entry import EntryMemory, compute_budget
from guavagate.admission._memory import MemoryBudget, RequestAccount

__all__ = (
    'EntryMemory',
    'MemoryBudget',
    'RequestAccount',
    'compute_budget',
)
