"""Admission control at entries: limits, fair shares and priorities."""

from guavagate.admission._connections import (
    ConnectionAccount,
    ConnectionLedger,
)
from guavagate.admission._entry import EntryMemory, compute_budget
from guavagate.admission._grants import Ask, GrantQueue, Verdict
from guavagate.admission._memory import MemoryBudget
from guavagate.admission._permissions import Permission, ServiceAdmission

__all__ = (
    'Ask',
    'ConnectionAccount',
    'ConnectionLedger',
    'EntryMemory',
    'GrantQueue',
    'MemoryBudget',
    'Permission',
    'ServiceAdmission',
    'Verdict',
    'compute_budget',
)
