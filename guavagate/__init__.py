"""guavagate: a rollout service for reinforcement learning."""

__version__ = '0.1.0'
