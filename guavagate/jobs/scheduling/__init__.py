"""Schedule and lengths: which items run next, where, and in which order."""

from guavagate.jobs.scheduling._cadence import Cadence
from guavagate.jobs.scheduling._dispatch import Dispatcher
from guavagate.jobs.scheduling._rewards import RewardDispatcher
from guavagate.jobs.scheduling._schedule import count_demands

__all__ = (
    'Cadence',
    'Dispatcher',
    'RewardDispatcher',
    'count_demands',
)
