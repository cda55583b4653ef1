"""Client for scoring services over HTTP."""

from guavagate.integrations.scoring_service._client import HttpScoringService

__all__ = ('HttpScoringService',)
