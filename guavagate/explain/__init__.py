"""Decisions with their reasons, kept for a while and found by id."""

from guavagate.explain._collect import Explainer, Explanation
from guavagate.explain._recent import Decision, RecentDecisions

__all__ = ('Decision', 'Explainer', 'Explanation', 'RecentDecisions')
