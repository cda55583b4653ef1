"""Versions of the weights: who orders samplers, and which serve what."""

from guavagate.rollouts._assign import assign_samplers
from guavagate.rollouts._coordinator import Coordinator, NamedVersions
from guavagate.rollouts._lease import (
    Lease,
    LeaseHeldError,
    LeaseRecord,
    acquire_for_orders,
    lease_path,
    list_holders,
)
from guavagate.rollouts._plan import ModelDemand
from guavagate.rollouts._renewals import MAX_SUCCESSORS, Renewals
from guavagate.rollouts._states import SamplerState, SamplerStates

__all__ = (
    'MAX_SUCCESSORS',
    'Coordinator',
    'Lease',
    'LeaseHeldError',
    'LeaseRecord',
    'ModelDemand',
    'NamedVersions',
    'Renewals',
    'SamplerState',
    'SamplerStates',
    'acquire_for_orders',
    'assign_samplers',
    'lease_path',
    'list_holders',
)
