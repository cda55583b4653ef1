"""Stand-in for a trainer: submits steps, pulls batches, publishes versions."""

from standins.trainer._trainer import Trainer, TrainerOptions, run

__all__ = ('Trainer', 'TrainerOptions', 'run')
