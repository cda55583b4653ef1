"""Reads of jobs at any instance: the owner is asked, else the store."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import LinkError, StoreError
from guavagate.jobs._held import PAGE_BYTES
from guavagate.jobs._messages import (
    ItemReply,
    Knowledge,
    PageReply,
    ReadItem,
    ReadPage,
)
from guavagate.jobs._models import ItemId, Job, JobId, Page, cut_page
from guavagate.jobs._owner import JobOwner
from guavagate.jobs._ownership import Ownership
from guavagate.jobs._shelf import JobShelf, measure_item
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, ServiceId

_LOGGER: Final = logging.getLogger(__name__)

# The owner answers from memory; when it does not, the store is asked while
# the reader still waits.
ASK_SECONDS: Final = 0.6
# Bodies of jobs accepted or read here; an entry has little memory.
CACHED_BYTES: Final = 8_000_000

FindOwner = Callable[[ServiceId], JobOwner | None]


class JobReader:
    """Answers reads of jobs, at any instance."""

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        shelf: JobShelf,
        ownership: Ownership,
        find_owner: FindOwner,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._shelf = shelf
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
        self, services: list[ServiceId], job: JobId, after: int, wait: float
    ) -> tuple[Knowledge, Page | None]:
        """Return results from a position on; `wait` in seconds.

        Parameters
        ----------
        services
            Those whose jobs may be meant; their owners are asked in turn.
        """
        for service in services:
            message = ReadPage(service=service, job=job, after=after, wait=wait)
            reply = self._ask_page(message)
            if reply is not None and reply.known is Knowledge.FOUND:
                return reply.known, reply.page
        return self._read_stored(job, after)

    def read_item(
        self, services: list[ServiceId], job: JobId, item: ItemId
    ) -> tuple[Knowledge, bytes]:
        """Return an item's body."""
        cached = self._cache.get(job)
        if cached is None:
            for service in services:
                message = ReadItem(service=service, job=job, item=item)
                reply = self._ask_item(message)
                if reply is not None and reply.known is Knowledge.FOUND:
                    return reply.known, reply.body
            try:
                cached = self._shelf.read(job)
            except StoreError as error:
                _LOGGER.debug('job %s can not be read: %s', job, error)
                return Knowledge.UNSURE, b''
        if cached is None:
            return Knowledge.MISSING, b''
        self.remember(cached)
        for each in cached.items:
            if each.id == item:
                return Knowledge.FOUND, each.body
        return Knowledge.MISSING, b''

    def exists(self, services: list[ServiceId], job: JobId) -> Knowledge:
        """Return whether there is such a job."""
        if job in self._cache:
            return Knowledge.FOUND
        known, _ = self.read(services, job, 0, 0)
        return known

    def _read_stored(
        self, job: JobId, after: int
    ) -> tuple[Knowledge, Page | None]:
        try:
            found = self._cache.get(job) or self._shelf.read(job)
            if found is None:
                return Knowledge.MISSING, None
            self.remember(found)
            log = self._shelf.make_log(job)
            log.load()
        except StoreError as error:
            _LOGGER.debug('job %s can not be read: %s', job, error)
            return Knowledge.UNSURE, None
        total = len(found.items)
        return Knowledge.FOUND, cut_page(log.results, total, after, PAGE_BYTES)

    def _ask_page(self, message: ReadPage) -> PageReply | None:
        owner = self._ownership.find(message.service)
        if owner is None:
            return None
        if self._ownership.is_mine(message.service):
            return self._serve_page(message)
        timeout = message.wait + ASK_SECONDS
        try:
            return self._bus.request(owner, message, PageReply, timeout)
        except LinkError as error:
            _LOGGER.debug('%s was not asked: %s', owner, error)
            return None

    def _ask_item(self, message: ReadItem) -> ItemReply | None:
        owner = self._ownership.find(message.service)
        if owner is None:
            return None
        if self._ownership.is_mine(message.service):
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
            return PageReply(known=Knowledge.UNSURE)
        known, page = owner.read(message.job, message.after, message.wait)
        return PageReply(known=known, page=page)

    def _serve_item(self, message: ReadItem) -> ItemReply:
        owner = self._find_owner(message.service)
        if owner is None:
            return ItemReply(known=Knowledge.UNSURE)
        known, body = owner.read_item(message.job, message.item)
        return ItemReply(known=known, body=body)


def measure(job: Job) -> int:
    """Return about how many bytes a job takes."""
    return sum(measure_item(each) for each in job.items)
