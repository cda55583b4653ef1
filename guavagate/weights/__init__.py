"""Rollout of weight versions to the samplers of each deployment."""

from guavagate.weights._plan import (
    OrderKind,
    RolloutInputs,
    SamplerWeights,
    WeightOrder,
    plan_orders,
)
from guavagate.weights._rollout import WeightRollout

__all__ = (
    'OrderKind',
    'SamplerWeights',
    'RolloutInputs',
    'WeightOrder',
    'WeightRollout',
    'plan_orders',
)
