"""Reads of jobs at any instance: the owner is asked, else the store."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import LinkError, StoreError
from guavagate.jobs._active import PAGE_BYTES
from guavagate.jobs._messages import (
    ItemReply,
    LookupStatus,
    PageReply,
    ReadItem,
    ReadPage,
)
from guavagate.jobs._models import ItemId, Job, JobId, Page, cut_page
from guavagate.jobs._owner import JobOwner
from guavagate.jobs._ownership import Ownership
from guavagate.jobs._store import JobStore, measure_item
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, ServiceId, TeamId

_LOGGER: Final = logging.getLogger(__name__)

# The owner answers from memory; when it does not, the store is asked while
# the reader still waits.
ASK_SECONDS: Final = 0.6
# Bodies of jobs accepted or read here; an entry has little memory.
CACHED_BYTES: Final = 8_000_000

_ANYBODY: Final = TeamId('')

FindOwner = Callable[[ServiceId], JobOwner | None]


class JobReader:
    """Answers reads of jobs, at any instance."""

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        job_store: JobStore,
        ownership: Ownership,
        find_owner: FindOwner,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._job_store = job_store
        self._ownership = ownership
        self._find_owner = find_owner
        self._cache: dict[JobId, Job] = {}
        self._cached_bytes = 0
        bus.register(ReadPage, self._on_read_page)
        bus.register(ReadItem, self._on_read_item)

    def remember(self, job: Job) -> None:
        """Keep a job that was accepted here, for bodies and totals."""
        if job.id in self._cache:
            return
        self._cache[job.id] = job
        self._cached_bytes += measure(job)
        while self._cached_bytes > CACHED_BYTES and len(self._cache) > 1:
            oldest = self._cache.pop(next(iter(self._cache)))
            self._cached_bytes -= measure(oldest)

    def read(
        self,
        services: list[ServiceId],
        job: JobId,
        after: int,
        wait: float,
        team: TeamId = _ANYBODY,
    ) -> tuple[LookupStatus, Page | None]:
        """Return results from a position on; `wait` in seconds.

        Parameters
        ----------
        services
            Those whose jobs may be meant; their owners are asked in turn.
        team
            Whose callers ask; another team's job is not there for them.
        """
        for service in services:
            message = ReadPage(
                service=service, job=job, after=after, wait=wait, team=team
            )
            reply = self._ask_page(message)
            if reply is not None and reply.known is LookupStatus.FOUND:
                return reply.known, reply.page
        return self._read_stored(job, after, team)

    def read_item(
        self,
        services: list[ServiceId],
        job: JobId,
        item: ItemId,
        team: TeamId = _ANYBODY,
    ) -> tuple[LookupStatus, bytes]:
        """Return an item's body."""
        if job in self._cache:
            return _find_body(self._cache[job], item, team)
        for service in services:
            message = ReadItem(service=service, job=job, item=item, team=team)
            reply = self._ask_item(message)
            if reply is not None and reply.known is LookupStatus.FOUND:
                return reply.known, reply.body
        try:
            found = self._job_store.read(job)
        except StoreError as error:
            _LOGGER.debug('job %s can not be read: %s', job, error)
            return LookupStatus.UNCERTAIN, b''
        if found is None:
            return LookupStatus.MISSING, b''
        self.remember(found)
        return _find_body(found, item, team)

    def exists(
        self, services: list[ServiceId], job: JobId, team: TeamId = _ANYBODY
    ) -> LookupStatus:
        """Return whether there is such a job for a team."""
        cached = self._cache.get(job)
        if cached is not None and cached.is_accessible_to(team):
            return LookupStatus.FOUND
        known, _ = self.read(services, job, 0, 0, team)
        return known

    def _read_stored(
        self, job: JobId, after: int, team: TeamId
    ) -> tuple[LookupStatus, Page | None]:
        try:
            found = self._cache.get(job) or self._job_store.read(job)
            if found is None:
                return LookupStatus.MISSING, None
            self.remember(found)
            if not found.is_accessible_to(team):
                return LookupStatus.MISSING, None
            log = self._job_store.open_log(job)
            log.load()
        except StoreError as error:
            _LOGGER.debug('job %s can not be read: %s', job, error)
            return LookupStatus.UNCERTAIN, None
        total = len(found.items)
        return LookupStatus.FOUND, cut_page(
            log.results, total, after, PAGE_BYTES
        )

    def _ask_page(self, message: ReadPage) -> PageReply | None:
        owner = self._ownership.find_owner(message.service)
        if owner is None:
            return None
        if self._ownership.is_owner(message.service):
            return self._serve_page(message)
        timeout = message.wait + ASK_SECONDS
        try:
            return self._bus.request(owner, message, PageReply, timeout)
        except LinkError as error:
            _LOGGER.debug('%s was not asked: %s', owner, error)
            return None

    def _ask_item(self, message: ReadItem) -> ItemReply | None:
        owner = self._ownership.find_owner(message.service)
        if owner is None:
            return None
        if self._ownership.is_owner(message.service):
            return self._serve_item(message)
        try:
            return self._bus.request(owner, message, ItemReply, ASK_SECONDS)
        except LinkError as error:
            _LOGGER.debug('%s was not asked: %s', owner, error)
            return None

    def _on_read_page(self, _: InstanceId, message: Message) -> Message:
        return self._serve_page(expect(message, ReadPage))

    def _on_read_item(self, _: InstanceId, message: Message) -> Message:
        return self._serve_item(expect(message, ReadItem))

    def _serve_page(self, message: ReadPage) -> PageReply:
        owner = self._find_owner(message.service)
        if owner is None:
            return PageReply(known=LookupStatus.UNCERTAIN)
        known, page = owner.read(
            message.job, message.after, message.wait, message.team
        )
        return PageReply(known=known, page=page)

    def _serve_item(self, message: ReadItem) -> ItemReply:
        owner = self._find_owner(message.service)
        if owner is None:
            return ItemReply(known=LookupStatus.UNCERTAIN)
        known, body = owner.read_item(message.job, message.item, message.team)
        return ItemReply(known=known, body=body)


def _find_body(
    job: Job, item: ItemId, team: TeamId
) -> tuple[LookupStatus, bytes]:
    if job.is_accessible_to(team):
        for each in job.items:
            if each.id == item:
                return LookupStatus.FOUND, each.body
    return LookupStatus.MISSING, b''


def measure(job: Job) -> int:
    """Return about how many bytes a job takes."""
    return sum(measure_item(each) for each in job.items)
