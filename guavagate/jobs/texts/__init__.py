"""Texts of items: how they are generated, replicated, saved and resumed."""

from guavagate.jobs.texts._checkpoints import TextCheckpoints
from guavagate.jobs.texts._event_interval import STALL_SECONDS
from guavagate.jobs.texts._partial_texts import PartialTexts
from guavagate.jobs.texts._replicas import TextReplicas, compute_message_limit
from guavagate.jobs.texts._runner import (
    MAX_BREAK_BACKOFF_SECONDS,
    ItemRunner,
)
from guavagate.jobs.texts._snapshots import TextSnapshots
from guavagate.jobs.texts._text_backups import TextBackups

__all__ = (
    'ItemRunner',
    'MAX_BREAK_BACKOFF_SECONDS',
    'PartialTexts',
    'STALL_SECONDS',
    'TextBackups',
    'TextCheckpoints',
    'TextReplicas',
    'TextSnapshots',
    'compute_message_limit',
)
