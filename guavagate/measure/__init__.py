"""Measure scheduling decisions by simulation in virtual time."""

from guavagate.measure._patterns import PATTERNS
from guavagate.measure._runs import Job, run_job

__all__ = ('Job', 'PATTERNS', 'run_job')
