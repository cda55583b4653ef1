"""Asks weight stores over HTTP which versions they hold."""

from guavagate.integrations.weight_store._client import HttpWeightStore

__all__ = ('HttpWeightStore',)
