"""A trainer as a stand-in: submits steps, pulls samples, publishes."""

from standins.trainer._trainer import Trainer, TrainerOptions, run

__all__ = ('Trainer', 'TrainerOptions', 'run')
