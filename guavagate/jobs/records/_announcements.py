"""Announces accepted and ended jobs to the instances that work on them.

An owner that is cut off from the store learns of jobs seconds late: its watch
breaks, and the next list of all jobs takes seconds through a peer. The entry
that accepted a job has it in memory, so it sends it to the owner and to the
owner's first successor. Announcements may be lost, doubled or late. The watch
of the store remains authoritative.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import OutsideRegionsError
from guavagate.jobs._messages import JobAnnounced, JobEndAnnounced
from guavagate.jobs._models import Job, JobId
from guavagate.jobs.ownership import Ownership
from guavagate.jobs.records._store import (
    PART_BYTES,
    JobStore,
    measure_job,
    split_items,
)
from guavagate.links import Bus, Message, expect
from guavagate.metrics import Metrics, names
from guavagate.models import ANYWHERE, InstanceId, ServiceId
from guavagate.residency import JobBounds, UnboundJobs

_LOGGER: Final = logging.getLogger(__name__)

# The owner and its first successor.
RECIPIENT_COUNT: Final = 2
# A larger job is left to the watch: its frame would delay heartbeats and reads
# on the same connection.
MAX_JOB_BYTES: Final = PART_BYTES
# Limits of what an instance stores for a later takeover. The open jobs of a few
# trainers are a megabyte. A step takes less than ten seconds; an older job has
# probably ended, and is in the store at the latest when it is listed.
MAX_STORED_BYTES: Final = 8_000_000
MAX_AGE_SECONDS: Final = 30.0
# Ends of jobs whose announcements may still arrive.
MAX_ENDED: Final = 1000


class AnnouncedJob(msgspec.Struct, frozen=True):
    """An announced job, and when it arrived on the runtime's clock."""

    job: Job
    received_at: float


class AnnouncedJobs:
    """The announcements that this instance received."""

    def __init__(self, clock: Clock, bus: Bus, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._jobs: OrderedDict[JobId, AnnouncedJob] = OrderedDict()
        self._bytes = 0
        self._ended: OrderedDict[JobId, None] = OrderedDict()
        self._on_job: dict[ServiceId, Callable[[Job], None]] = {}
        self._on_end: dict[ServiceId, Callable[[JobId], None]] = {}
        bus.register(JobAnnounced, self._on_announced)
        bus.register(JobEndAnnounced, self._on_end_announced)

    def subscribe(
        self,
        service: ServiceId,
        on_job: Callable[[Job], None],
        on_end: Callable[[JobId], None],
    ) -> None:
        """Pass the announcements of a service's jobs to its owner here."""
        self._on_job[service] = on_job
        self._on_end[service] = on_end

    def list_jobs(self, service: ServiceId) -> list[AnnouncedJob]:
        """Return the recent jobs of a service whose end is not known."""
        self._drop_old()
        return [
            each for each in self._jobs.values() if each.job.service == service
        ]

    def put(self, job: Job) -> None:
        """Store an announced job, and pass it on if it is new."""
        if job.id in self._jobs or job.id in self._ended:
            return
        self._jobs[job.id] = AnnouncedJob(job, self._clock.now())
        self._bytes += measure_job(job)
        self._drop_old()
        self._metrics.count(names.ANNOUNCED_JOBS)
        write(_LOGGER, events.JOB_ANNOUNCED, job=job.id, service=job.service)
        on_job = self._on_job.get(job.service)
        if on_job is not None:
            on_job(job)

    def end(self, service: ServiceId, job: JobId) -> None:
        """Record that a job was ended, and pass it on."""
        if job in self._ended:
            return
        self._ended[job] = None
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        if job in self._jobs:
            self.drop_job(job)
        on_end = self._on_end.get(service)
        if on_end is not None:
            on_end(job)

    def drop_service(self, service: ServiceId) -> None:
        """Drop the jobs of a service that this instance may not hold."""
        for job in [each.job for each in self._jobs.values()]:
            if job.service == service:
                self.drop_job(job.id)

    def _drop_old(self) -> None:
        oldest_kept = self._clock.now() - MAX_AGE_SECONDS
        while self._jobs:
            name, oldest = next(iter(self._jobs.items()))
            fits = self._bytes <= MAX_STORED_BYTES or len(self._jobs) == 1
            if fits and oldest.received_at >= oldest_kept:
                return
            self.drop_job(name)

    def drop_job(self, job: JobId) -> None:
        """Drop a job that ended, is old, or may not be held here."""
        dropped = self._jobs.pop(job, None)
        if dropped is not None:
            self._bytes -= measure_job(dropped.job)

    def _on_announced(self, _: InstanceId, message: Message) -> None:
        self.put(expect(message, JobAnnounced).job)

    def _on_end_announced(self, _: InstanceId, message: Message) -> None:
        announced = expect(message, JobEndAnnounced)
        self.end(announced.service, announced.job)


class JobIntake:
    """Writes accepted and ended jobs to the store, and announces them.

    Parameters
    ----------
    list_services
        Returns the services that have jobs; the end of a job is announced to
        the owners of all of them, as it doesn't name its service.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        me: InstanceId,
        job_store: JobStore,
        ownership: Ownership,
        announced: AnnouncedJobs,
        list_services: Callable[[], Iterable[ServiceId]],
        bounds: JobBounds | None = None,
    ) -> None:
        self._bounds = bounds or UnboundJobs()
        self._clock = clock
        self._bus = bus
        self._me = me
        self._job_store = job_store
        self._ownership = ownership
        self._announced = announced
        self._list_services = list_services

    def accept(self, job: Job, timeout: float) -> bool:
        """Store a job; see `JobStore.accept`.

        Raises
        ------
        OutsideRegionsError
            The job cannot run inside its regions, and was not accepted before.
        """
        job = self._bind(job)
        new = self._job_store.accept(job, timeout)
        # A repeated submission differs from the stored job in its time, and the
        # first one was announced.
        if new:
            self.announce(job)
        return new

    def _bind(self, job: Job) -> Job:
        """Return a new job with its regions.

        One that was accepted earlier may have run, whatever the configuration
        says now; it is answered as accepted.
        """
        owner = self._ownership.find_owner(job.service)
        try:
            regions = self._bounds.check_job(job, owner)
        except OutsideRegionsError:
            if not self._job_store.may_exist(job.id):
                raise
            regions = self._bounds.find_job_regions(job)
        if regions is ANYWHERE:
            return job
        parts = len(split_items(job.items, self._job_store.part_bytes))
        return msgspec.structs.replace(job, regions=regions, parts=parts)

    def end(self, job: JobId, timeout: float) -> None:
        """Store that a job was ended; see `JobStore.end`."""
        self._job_store.end(job, timeout)
        self._clock.spawn(self._announce_end, job)

    def announce(self, job: Job) -> None:
        """Announce a stored job in a task of its own; callers don't wait."""
        if measure_job(job) <= MAX_JOB_BYTES:
            self._clock.spawn(self._announce, job)

    def _announce(self, job: Job) -> None:
        message = JobAnnounced(job=job)
        for recipient in self._list_recipients(job.service):
            if not self._bounds.may_hold(job.regions, recipient):
                continue
            if recipient == self._me:
                self._announced.put(job)
            else:
                self._bus.send(recipient, message)

    def _announce_end(self, job: JobId) -> None:
        for service in self._list_services():
            message = JobEndAnnounced(service=service, job=job)
            for recipient in self._list_recipients(service):
                if recipient == self._me:
                    self._announced.end(service, job)
                else:
                    self._bus.send(recipient, message)

    def _list_recipients(self, service: ServiceId) -> list[InstanceId]:
        return self._ownership.list_in_turn(service)[:RECIPIENT_COUNT]
