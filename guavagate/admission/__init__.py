"""Admission control at entries: memory, fair shares and priorities."""

from guavagate.admission._entry import EntryMemory, compute_budget
from guavagate.admission._grants import Ask, GrantQueue, Verdict
from guavagate.admission._memory import MemoryBudget, RequestAccount
from guavagate.admission._permissions import Permission, ServiceAdmission

__all__ = (
    'Ask',
    'EntryMemory',
    'GrantQueue',
    'MemoryBudget',
    'Permission',
    'RequestAccount',
    'ServiceAdmission',
    'Verdict',
    'compute_budget',
)
