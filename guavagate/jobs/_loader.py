"""Follows the jobs of one service, stored and announced, and loads them."""

from collections.abc import Callable

from guavagate.clock import Clock
from guavagate.helpers.mirror import Mirror
from guavagate.jobs._models import ENDS_PREFIX, JOBS_PREFIX, Job, JobId
from guavagate.jobs._residency import JobRegions
from guavagate.jobs.records import (
    ActiveJobs,
    AnnouncedJobs,
    decode_job,
    is_expired,
)
from guavagate.models import ServiceId
from guavagate.ports.store import ObjectStore, StoredObject


class JobLoader:
    """Loads the jobs that their owner may hold, and passes on their ends.

    An entry announces a job directly, and the store's watch reports it as
    well; whichever comes first loads it.

    Parameters
    ----------
    retention
        Seconds for which jobs are kept.
    is_owning
        Returns whether this instance owns the service's jobs.
    """

    def __init__(
        self,
        service: ServiceId,
        clock: Clock,
        store: ObjectStore,
        active_jobs: ActiveJobs,
        announced: AnnouncedJobs,
        regions: JobRegions,
        retention: float,
        is_owning: Callable[[], bool],
    ) -> None:
        self._service = service
        self._clock = clock
        self._active_jobs = active_jobs
        self._announced = announced
        self._regions = regions
        self._retention = retention
        self._is_owning = is_owning
        self._job_mirror = Mirror(
            store,
            clock,
            JOBS_PREFIX,
            self._put_job,
            self._drop_job,
            on_loaded=active_jobs.mark_uncertain,
        )
        self._end_mirror = Mirror(store, clock, ENDS_PREFIX, self._put_end)
        announced.subscribe(service, self._on_announced, self._on_announced_end)

    @property
    def is_complete(self) -> bool:
        """Return whether all jobs of the former owner are loaded."""
        return self._job_mirror.loaded and self._active_jobs.is_complete

    def start(self) -> None:
        """Load the service's jobs, and follow the store for further ones."""
        self._job_mirror.start()
        self._end_mirror.start()
        self._load_announced()

    def stop(self) -> None:
        """Stop following the store."""
        self._job_mirror.stop()
        self._end_mirror.stop()

    def release_excluded(self) -> None:
        """Release the loaded jobs that exclude this instance now.

        The store is listed again for their records, which have no bodies.
        """
        excluded = [
            work.job
            for work in self._active_jobs.list_open()
            if not self._regions.may_hold(work.job)
        ]
        for job in excluded:
            self._regions.put_aside(job, None)
            self._active_jobs.release(job.id)
            self._announced.drop_job(job.id)
        if excluded:
            self._job_mirror.stop()
            self._job_mirror.start()

    def reload_excluded(self) -> None:
        """Load the jobs that excluded this instance and no longer do."""
        for stored in self._regions.take_stored():
            self._put_job(stored.path.partition('/')[2], stored)

    def _load_announced(self) -> None:
        """Load the announced jobs, even if the store does not answer now."""
        for each in self._announced.list_jobs(self._service):
            if not self._regions.may_hold(each.job):
                continue
            self._active_jobs.expect(each.job.id)
            self._clock.spawn(
                self._active_jobs.load_announced, each.job, each.received_at
            )

    def _on_announced(self, job: Job) -> None:
        inside = self._regions.may_hold(job)
        if not inside:
            return
        expired = is_expired(job, self._clock.wall(), self._retention)
        if self._is_owning() and not expired:
            self._active_jobs.add_announced(job)

    def _on_announced_end(self, job: JobId) -> None:
        if self._is_owning():
            self._active_jobs.end(job)

    def _put_job(self, name: str, stored: StoredObject) -> None:
        job = decode_job(stored.value)
        if job.service != self._service:
            self._active_jobs.record_foreign(job.id)
            return
        if job.id in self._active_jobs:
            return
        if not self._regions.may_hold(job):
            self._regions.put_aside(job, stored)
            return
        self._regions.drop(job.id)
        fresh = self._job_mirror.loaded and self._job_mirror.is_live_change
        self._active_jobs.expect(job.id)
        self._clock.spawn(self._active_jobs.load_stored, job.id, stored, fresh)

    def _drop_job(self, name: str) -> None:
        self._regions.drop(JobId(name))
        self._active_jobs.drop(JobId(name))

    def _put_end(self, name: str, stored: StoredObject) -> None:
        self._regions.drop(JobId(name))
        self._active_jobs.end(JobId(name))
