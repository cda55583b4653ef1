"""Serves reads of jobs at any instance, from the owner or from the store."""

import logging
from collections.abc import Callable, Iterator
from typing import Final, Protocol, TypeVar

from guavagate.clock import Clock
from guavagate.exceptions import LinkError, StoreError
from guavagate.jobs._messages import (
    ItemReply,
    LookupStatus,
    PageReply,
    ReadItem,
    ReadPage,
)
from guavagate.jobs._models import (
    PAGE_BYTES,
    ItemId,
    Job,
    JobId,
    Page,
    make_page,
)
from guavagate.jobs.ownership import Ownership
from guavagate.jobs.records._pages import (
    PageClient,
    RequestPage,
    shorten_page,
)
from guavagate.jobs.records._result_cache import Budget, ResultCache
from guavagate.jobs.records._store import JobStore, measure_job
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, ServiceId, TeamId
from guavagate.residency import JobBounds, UnboundJobs

_LOGGER: Final = logging.getLogger(__name__)

# The owner replies from memory. If it does not reply in time, the store is read
# while the reader still waits.
OWNER_TIMEOUT_SECONDS: Final = 0.6
# How long the successor is asked before an owner that did not reply. By then
# the membership has found out whether the owner is lost.
SILENT_SECONDS: Final = 2.0
# For bodies of jobs accepted or read here; an entry has little memory.
MAX_CACHE_BYTES: Final = 8_000_000

_ANY_TEAM: Final = TeamId('')

Reply = TypeVar('Reply', bound=Message)


class LocalOwner(Protocol):
    """The job owner of a service, if it is on this instance."""

    def read(
        self, job: JobId, after: int, wait: float, team: TeamId = ...
    ) -> tuple[LookupStatus, Page | None]:
        """Return results from a position on, waiting until there are any."""

    def read_item(
        self, job: JobId, item: ItemId, team: TeamId = ...
    ) -> tuple[LookupStatus, bytes]:
        """Return an item's body."""


FindLocalOwner = Callable[[ServiceId], LocalOwner | None]


class JobReader:
    """Serves reads of jobs, at any instance.

    Parameters
    ----------
    budget
        The memory budget that cached results count in.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        job_store: JobStore,
        ownership: Ownership,
        find_local_owner: FindLocalOwner,
        bounds: JobBounds | None = None,
        budget: Budget | None = None,
    ) -> None:
        self._bounds = bounds or UnboundJobs()
        self._clock = clock
        self._bus = bus
        self._job_store = job_store
        self._ownership = ownership
        self._find_local_owner = find_local_owner
        self._cache: dict[JobId, Job] = {}
        self._cached_bytes = 0
        self._silent_until: dict[InstanceId, float] = {}
        self._pages = PageClient(
            clock,
            bus,
            ownership.me,
            ResultCache(budget),
            self._request_owner_page,
            ownership.find_zone_cache,
        )
        bus.register(ReadPage, self._on_read_page)
        bus.register(ReadItem, self._on_read_item)

    def cache_job(self, job: Job) -> None:
        """Cache a job for later reads of item bodies and totals.

        Not outside its regions, as the next caller may be another one.
        """
        regions = self._bounds.find_job_regions(job)
        if job.id in self._cache or not self._bounds.may_hold_here(regions):
            return
        self._cache[job.id] = job
        self._cached_bytes += measure_job(job)
        while self._cached_bytes > MAX_CACHE_BYTES and len(self._cache) > 1:
            oldest = self._cache.pop(next(iter(self._cache)))
            self._cached_bytes -= measure_job(oldest)

    def drop_outside(self) -> None:
        """Drop the cached jobs that this instance may not hold any more."""
        for job in list(self._cache.values()):
            regions = self._bounds.find_job_regions(job)
            if not self._bounds.may_hold_here(regions):
                self._cached_bytes -= measure_job(self._cache.pop(job.id))

    def read(
        self,
        services: list[ServiceId],
        job: JobId,
        after: int,
        wait: float,
        team: TeamId = _ANY_TEAM,
    ) -> tuple[LookupStatus, Page | None]:
        """Return results from a position on; `wait` in seconds.

        Parameters
        ----------
        services
            Candidates for the job's service; their owners are queried in turn.
        team
            The team of the caller; jobs of other teams are missing for it.
        """
        for service in services:
            message = ReadPage(
                service=service, job=job, after=after, wait=wait, team=team
            )
            reply = self._request_page(message, self._pages.request)
            if reply is not None and reply.known is LookupStatus.FOUND:
                return reply.known, reply.page
        return self._read_stored(job, after, team)

    def read_item(
        self,
        services: list[ServiceId],
        job: JobId,
        item: ItemId,
        team: TeamId = _ANY_TEAM,
    ) -> tuple[LookupStatus, bytes]:
        """Return an item's body."""
        if job in self._cache:
            return _find_body(self._cache[job], item, team)
        for service in services:
            message = ReadItem(service=service, job=job, item=item, team=team)
            reply = self._request_item(message)
            if reply is not None and reply.known is LookupStatus.FOUND:
                return reply.known, reply.body
        try:
            found = self._job_store.read(job)
        except StoreError as error:
            _LOGGER.debug('job %s could not be read: %s', job, error)
            return LookupStatus.UNCERTAIN, b''
        if found is None:
            return LookupStatus.MISSING, b''
        self.cache_job(found)
        return _find_body(found, item, team)

    def exists(
        self, services: list[ServiceId], job: JobId, team: TeamId = _ANY_TEAM
    ) -> LookupStatus:
        """Return whether a job exists for a team."""
        cached = self._cache.get(job)
        if cached is not None and cached.is_accessible_to(team):
            return LookupStatus.FOUND
        for service in services:
            message = ReadPage(
                service=service,
                job=job,
                after=0,
                wait=0,
                team=team,
                max_bytes=0,
            )
            reply = self._request_page(message, self._request_owner_page)
            if reply is not None and reply.known is LookupStatus.FOUND:
                return reply.known
        return self._find_stored(job, team)[0]

    def _read_stored(
        self, job: JobId, after: int, team: TeamId
    ) -> tuple[LookupStatus, Page | None]:
        status, found = self._find_stored(job, team)
        if found is None:
            return status, None
        try:
            log = self._job_store.open_log(job)
            log.load()
        except StoreError as error:
            _LOGGER.debug('job %s could not be read: %s', job, error)
            return LookupStatus.UNCERTAIN, None
        total = len(found.items)
        return LookupStatus.FOUND, make_page(
            log.results, total, after, PAGE_BYTES
        )

    def _find_stored(
        self, job: JobId, team: TeamId
    ) -> tuple[LookupStatus, Job | None]:
        """Look a job up in the store, and cache it."""
        try:
            found = self._cache.get(job) or self._job_store.read(job)
        except StoreError as error:
            _LOGGER.debug('job %s could not be read: %s', job, error)
            return LookupStatus.UNCERTAIN, None
        if found is None:
            return LookupStatus.MISSING, None
        self.cache_job(found)
        if not found.is_accessible_to(team):
            return LookupStatus.MISSING, None
        return LookupStatus.FOUND, found

    def _request_owner_page(
        self, peer: InstanceId, message: ReadPage, timeout: float
    ) -> PageReply | None:
        if peer == self._ownership.me:
            return self._serve_page(message)
        return self._request(peer, message, PageReply, timeout)

    def _request_page(
        self, message: ReadPage, request: RequestPage
    ) -> PageReply | None:
        timeout = message.wait + OWNER_TIMEOUT_SECONDS
        for peer in self._list_peers(message.service):
            reply = request(peer, message, timeout)
            if reply is not None and reply.known is not LookupStatus.UNCERTAIN:
                return reply
        return None

    def _request_item(self, message: ReadItem) -> ItemReply | None:
        for peer in self._list_peers(message.service):
            reply = (
                self._serve_item(message)
                if peer == self._ownership.me
                else self._request(
                    peer, message, ItemReply, OWNER_TIMEOUT_SECONDS
                )
            )
            if reply is not None and reply.known is not LookupStatus.UNCERTAIN:
                return reply
        return None

    def _list_peers(self, service: ServiceId) -> Iterator[InstanceId]:
        """Yield the owner; and its successor if the owner does not reply.

        The successor replies with results only if it works on the jobs.
        """
        in_turn = self._ownership.list_in_turn(service)
        owner, successors = in_turn[:1], in_turn[1:2]
        was_silent = any(map(self._is_silent, owner))
        if was_silent:
            yield from successors
        yield from owner
        if not was_silent and any(map(self._is_silent, owner)):
            yield from successors

    def _is_silent(self, instance: InstanceId) -> bool:
        until = self._silent_until.get(instance, 0)
        return self._clock.now() < until

    def _request(
        self,
        peer: InstanceId,
        message: Message,
        reply: type[Reply],
        timeout: float,
    ) -> Reply | None:
        try:
            replied = self._bus.request(peer, message, reply, timeout)
        except LinkError as error:
            _LOGGER.debug('%s did not reply: %s', peer, error)
            self._silent_until[peer] = self._clock.now() + SILENT_SECONDS
            return None
        self._silent_until.pop(peer, None)
        return replied

    def _on_read_page(self, _: InstanceId, message: Message) -> Message:
        return self._serve_page(expect(message, ReadPage))

    def _on_read_item(self, _: InstanceId, message: Message) -> Message:
        return self._serve_item(expect(message, ReadItem))

    def _serve_page(self, message: ReadPage) -> PageReply:
        owner = self._find_local_owner(message.service)
        if owner is None:
            return PageReply(known=LookupStatus.UNCERTAIN)
        status, page = owner.read(
            message.job, message.after, message.wait, message.team
        )
        return shorten_page(message, status, page)

    def _serve_item(self, message: ReadItem) -> ItemReply:
        owner = self._find_local_owner(message.service)
        if owner is None:
            return ItemReply(known=LookupStatus.UNCERTAIN)
        status, body = owner.read_item(message.job, message.item, message.team)
        return ItemReply(known=status, body=body)


def _find_body(
    job: Job, item: ItemId, team: TeamId
) -> tuple[LookupStatus, bytes]:
    if job.is_accessible_to(team):
        for each in job.items:
            if each.id == item:
                return LookupStatus.FOUND, each.body
    return LookupStatus.MISSING, b''
