"""Stores accepted jobs: written once, readable by any instance."""

from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import StoreError
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.store_writes import (
    MaybeWrittenError,
    NotWrittenError,
    create,
)
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.jobs._models import (
    SERVICES_PREFIX,
    Job,
    JobId,
    JobItem,
    end_path,
    job_path,
    part_path,
    service_path,
)
from guavagate.jobs._result_log import ResultLog
from guavagate.models import ServiceId
from guavagate.ports.store import ObjectStore, StoredObject

# Bodies grow by a third in JSON; the rest of the store's object size limit is
# for the head of a job.
PART_BYTES: Final = 600_000
PART_SHARE: Final = 4 / 7
# Of a chunk of results, for a text before its characters are escaped.
TEXT_SHARE: Final = 5 / 6
DEFAULT_VALUE_BYTES: Final = 1_048_576
# Estimate for ids, headers and the like of an item or its reward request.
ITEM_HEAD_BYTES: Final = 500
_MARKER: Final = b'{}'

_UNREADABLE: Final = UnreadableObjects()


def _always() -> bool:
    return True


class JobConflictError(Exception):
    """A different job was accepted under the same id."""


class JobStore:
    """Writes and reads jobs.

    Parameters
    ----------
    writer
        Identifies this process in the chunks that it writes.
    has_spare_writes
        Returns whether a write that can wait leaves the store's rate of calls
        for urgent ones.
    value_bytes
        Size limit of the store's objects.

    Attributes
    ----------
    part_bytes
        Size limit of a part of a job's items, and of a chunk of its results.
    max_text_bytes
        Size limit of an item's text, whose result must fit into such a chunk.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        writer: str,
        has_spare_writes: Callable[[], bool] = _always,
        value_bytes: int = DEFAULT_VALUE_BYTES,
    ) -> None:
        self.part_bytes = min(int(value_bytes * PART_SHARE), PART_BYTES)
        self.max_text_bytes = int(self.part_bytes * TEXT_SHARE)
        self.object_store = store
        self.has_spare_writes = has_spare_writes
        self._clock = clock
        self._writer = writer
        self._recorded_services: set[ServiceId] = set()

    def accept(self, job: Job, timeout: float) -> bool:
        """Store a job; return whether it is new.

        A large job's items are written first, in parts. The job object is
        written last; the job is accepted once it exists. The owners of all
        services follow the job objects, wherever they are, so those of bound
        jobs have no items: their bodies are in parts.

        Raises
        ------
        JobConflictError
            The id is in use by a job with different content.
        NotWrittenError, MaybeWrittenError
            See `create`.
        """
        give_up_at = self._clock.now() + timeout
        self._record_service(job.service, timeout)
        timeout = max(give_up_at - self._clock.now(), 0)
        parts = split_items(job.items, self.part_bytes)
        if len(parts) > 1 or job.regions is not None:
            for number, items in enumerate(parts):
                path = part_path(job.id, number)
                value = msgspec.json.encode(items)
                create(self.object_store, self._clock, path, value, timeout)
            job = msgspec.structs.replace(job, items=[], parts=len(parts))
        value = msgspec.json.encode(job)
        other = create(
            self.object_store, self._clock, job_path(job.id), value, timeout
        )
        if other is None:
            return True
        try:
            existing = decode_job(other.value)
            same = existing.fingerprint == job.fingerprint
            same = same and existing.is_accessible_to(job.team)
        except ValueError:
            same = False
        if not same:
            raise JobConflictError(job.id)
        return False

    def list_services(self) -> list[ServiceId]:
        """Return the services that ever had a job; reads the store."""
        stored, _ = self.object_store.list_under(SERVICES_PREFIX)
        return [ServiceId(each.path.partition('/')[2]) for each in stored]

    def _record_service(self, service: ServiceId, timeout: float) -> None:
        """Store that a service has jobs, before the first one is accepted.

        An instance that starts after the last route of a service has moved
        learns of it from this alone, if no version was ordered yet: without an
        order the service has no lease, and without an owner no job of it runs.

        Raises
        ------
        NotWrittenError
            The store can't be written, so no part of the job is.
        """
        if service in self._recorded_services:
            return
        path = service_path(service)
        try:
            create(self.object_store, self._clock, path, _MARKER, timeout)
        except MaybeWrittenError as error:
            raise NotWrittenError from error
        self._recorded_services.add(service)

    def may_exist(self, job: JobId) -> bool:
        """Return whether a job was accepted, or may have been.

        Raises
        ------
        MaybeWrittenError
            The store cannot be read now.
        """
        try:
            return self.object_store.get(job_path(job)) is not None
        except StoreError as error:
            raise MaybeWrittenError(str(error)) from error

    def read(self, job: JobId) -> Job | None:
        """Return an accepted job, or None; reads the store, not a cache.

        An unreadable object comes from another writer and was never accepted.
        """
        stored = self.object_store.get(job_path(job))
        if stored is None:
            return None
        try:
            return self.assemble(stored)
        except ValueError as error:
            _UNREADABLE.report(stored.path, str(error))
            return None

    def assemble(self, stored: StoredObject) -> Job:
        """Return a stored job with all its items, including those in parts."""
        job = decode_job(stored.value)
        if not job.parts:
            return job
        items: list[JobItem] = []
        for number in range(job.parts):
            part = self.object_store.get(part_path(job.id, number))
            if part is None:
                raise ValueError(f'part {number} of job {job.id} is missing')
            items += decode_json(part.value, list[JobItem])
        return msgspec.structs.replace(job, items=items)

    def end(self, job: JobId, timeout: float) -> None:
        """Store that a job was ended; idempotent."""
        create(self.object_store, self._clock, end_path(job), b'{}', timeout)

    def open_log(self, job: JobId) -> ResultLog:
        """Return the log of a job's results, not loaded."""
        return ResultLog(
            self.object_store, self._clock, job, self._writer, self.part_bytes
        )


def decode_job(value: bytes) -> Job:
    """Return a job as stored, without the items that are in parts."""
    return decode_json(value, Job)


def measure_item(item: JobItem) -> int:
    """Return the approximate size of an item in bytes, before encoding."""
    size = len(item.body) + len(item.path) + ITEM_HEAD_BYTES
    if item.reward is not None:
        size += len(item.reward.body) + len(item.reward.path) + ITEM_HEAD_BYTES
    return size


def measure_job(job: Job) -> int:
    """Return the approximate size of a job in bytes."""
    return sum(measure_item(each) for each in job.items)


def split_items(
    items: list[JobItem], limit: int = PART_BYTES
) -> list[list[JobItem]]:
    """Return the items in parts that each fit into one store object."""
    parts: list[list[JobItem]] = [[]]
    size = 0
    for item in items:
        size += measure_item(item)
        if parts[-1] and size > limit:
            parts.append([])
            size = measure_item(item)
        parts[-1].append(item)
    return parts
