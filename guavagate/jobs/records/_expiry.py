"""Removes jobs from the store after their retention time."""

import logging
from collections.abc import Iterable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.jobs._models import (
    Job,
    JobId,
    end_path,
    job_path,
    part_path,
    results_prefix,
    texts_path,
)
from guavagate.jobs.records._active_job import ActiveJob
from guavagate.ports.store import ObjectStore

_LOGGER: Final = logging.getLogger(__name__)

# Clocks of readers and instances may differ; a job is kept longer rather than
# shorter than promised.
CLOCK_SKEW_SECONDS: Final = 60.0


EXPIRY_INTERVAL_SECONDS: Final = 10.0


def remove_expired_jobs(
    store: ObjectStore,
    clock: Clock,
    active_jobs: Iterable[ActiveJob],
    retention: float,
) -> None:
    """Remove closed jobs after their retention time; does not return."""
    while True:
        clock.sleep(EXPIRY_INTERVAL_SECONDS)
        now = clock.wall()
        for active in active_jobs:
            job = active.work.job
            if active.work.open or not is_expired(job, now, retention):
                continue
            try:
                remove_job(store, clock, job)
            except StoreError as error:
                _LOGGER.debug('job %s could not be removed: %s', job.id, error)
                break


def is_expired(job: Job, now: float, retention: float) -> bool:
    """Return whether a closed job may be removed; `now` is in Unix time."""
    return now - job.submitted_at > retention + CLOCK_SKEW_SECONDS


def remove_job(store: ObjectStore, clock: Clock, job: Job) -> None:
    """Remove a job and all its objects from the store; raises `StoreError`.

    The job object is removed last, so that the next owner still finds a job
    that was removed only in part, and removes the rest.
    """
    chunks, _ = store.list_under(results_prefix(job.id))
    for chunk in chunks:
        store.delete(chunk.path, None)
    for number in range(job.parts):
        store.delete(part_path(job.id, number), None)
    store.delete(texts_path(job.id), None)
    store.delete(end_path(job.id), None)
    store.delete(job_path(JobId(job.id)), None)
    age = round(clock.wall() - job.submitted_at)
    write(_LOGGER, events.REMOVED, job=job.id, age=age)
