"""Explains recent decisions and reads the steps of work from logs."""

from guavagate.explain._collect import Explainer, Explanation
from guavagate.explain._recent import Decision, RecentDecisions

__all__ = ('Decision', 'Explainer', 'Explanation', 'RecentDecisions')
