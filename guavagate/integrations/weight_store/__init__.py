"""Client that looks up weight versions in weight stores."""

from guavagate.integrations.weight_store._client import HttpWeightStore

__all__ = ('HttpWeightStore',)
