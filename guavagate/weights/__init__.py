"""Weights: which version each sampler should have, and the orders for it."""

from guavagate.weights._plan import (
    OrderKind,
    SamplerWeights,
    Situation,
    WeightOrder,
    plan_orders,
)
from guavagate.weights._rollout import WeightRollout

__all__ = (
    'OrderKind',
    'SamplerWeights',
    'Situation',
    'WeightOrder',
    'WeightRollout',
    'plan_orders',
)
