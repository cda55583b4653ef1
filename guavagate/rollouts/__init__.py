"""Versions of the weights: who orders samplers, and which serve what."""

from guavagate.rollouts._assign import assign
from guavagate.rollouts._coordinator import Coordinator, NamedVersions
from guavagate.rollouts._lease import (
    Lease,
    LeaseHeldError,
    LeaseRecord,
    lease_path,
    list_holders,
    secure_for_orders,
)
from guavagate.rollouts._plan import ModelDemand
from guavagate.rollouts._renewals import SUCCESSORS, Renewals
from guavagate.rollouts._states import SamplerState, SamplerStates

__all__ = (
    'SUCCESSORS',
    'Coordinator',
    'Lease',
    'LeaseHeldError',
    'LeaseRecord',
    'ModelDemand',
    'NamedVersions',
    'Renewals',
    'SamplerState',
    'SamplerStates',
    'assign',
    'lease_path',
    'list_holders',
    'secure_for_orders',
)
