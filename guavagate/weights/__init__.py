"""Weights: which version each sampler should have, and the orders for it."""

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
