"""Rolls out weight versions to samplers and assigns samplers to models."""

from guavagate.rollouts._assign import assign_samplers
from guavagate.rollouts._coordinator import Coordinator
from guavagate.rollouts._lease import (
    Lease,
    LeaseHeldError,
    LeaseRecord,
    acquire_for_orders,
    lease_path,
    list_holders,
    list_leased_services,
)
from guavagate.rollouts._plan import ModelDemand
from guavagate.rollouts._published import PublishedVersions
from guavagate.rollouts._renewals import MAX_SUCCESSORS, Renewals
from guavagate.rollouts._states import (
    SamplerState,
    SamplerStates,
    TextSeconds,
)

__all__ = (
    'MAX_SUCCESSORS',
    'Coordinator',
    'Lease',
    'LeaseHeldError',
    'LeaseRecord',
    'ModelDemand',
    'PublishedVersions',
    'Renewals',
    'SamplerState',
    'SamplerStates',
    'TextSeconds',
    'acquire_for_orders',
    'assign_samplers',
    'lease_path',
    'list_holders',
    'list_leased_services',
)
