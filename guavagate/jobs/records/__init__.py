"""Accepted jobs and committed results: how they are stored and read."""

from guavagate.jobs.records._active import ActiveJobs
from guavagate.jobs.records._announcements import AnnouncedJobs, JobIntake
from guavagate.jobs.records._expiry import is_expired, remove_expired_jobs
from guavagate.jobs.records._reader import JobReader
from guavagate.jobs.records._store import JobConflictError, JobStore, decode_job

__all__ = (
    'ActiveJobs',
    'AnnouncedJobs',
    'JobConflictError',
    'JobIntake',
    'JobReader',
    'JobStore',
    'decode_job',
    'is_expired',
    'remove_expired_jobs',
)
