"""Reads pages of results from a job's owner, with few bytes between zones.

Load pattern: callers read a job from any position, each time at another entry.
Most bytes between zones were results that had been sent to the same zone
before. So one instance of each zone caches results. The owner still answers
each read: it says which results the page has, and sends those that are few.
The others come from the cache of the zone.
"""

import logging
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import pages as events
from guavagate.events import write
from guavagate.exceptions import LinkError
from guavagate.jobs._messages import (
    LookupStatus,
    PageReply,
    ReadPage,
    ReadResults,
    ResultsReply,
)
from guavagate.jobs._models import PAGE_BYTES, JobId, Page, Result
from guavagate.jobs.records._result_cache import ResultCache
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId

_LOGGER: Final = logging.getLogger(__name__)

# Pages up to this size come from the owner, without a detour.
SMALL_PAGE_BYTES: Final = 16_000
# The zone's cache asks the owner if it lacks results. Afterwards the entry
# asks the owner itself while its caller waits.
CACHE_TIMEOUT_SECONDS: Final = 0.5
OWNER_TIMEOUT_SECONDS: Final = 0.3
# How long a cache that sent no results is not asked. The owner's pages are then
# as large as without it.
FAILING_SECONDS: Final = 2.0

RequestPage = Callable[[InstanceId, ReadPage, float], PageReply | None]
FindCache = Callable[[InstanceId, JobId], InstanceId | None]


class PageClient:
    """Requests pages from owners, and caches results for its zone.

    Parameters
    ----------
    request_owner
        Sends a request to an owner; returns None if it didn't reply.
    find_cache
        Returns the instance that caches an owner's job for this zone, if any.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        me: InstanceId,
        cache: ResultCache,
        request_owner: RequestPage,
        find_cache: FindCache,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._me = me
        self._cache = cache
        self._request_owner = request_owner
        self._find_cache = find_cache
        self._failing_until: dict[InstanceId, float] = {}
        bus.register(ReadResults, self._on_read_results)

    def request(
        self, owner: InstanceId, message: ReadPage, timeout: float
    ) -> PageReply | None:
        """Return an owner's page, or None if it didn't reply."""
        near = self._find_cache(owner, message.job)
        if near is None or self._clock.now() < self._failing_until.get(near, 0):
            return self._request_owner(owner, message, timeout)
        if near == self._me:
            return self._request_missing(owner, message, timeout)
        short = msgspec.structs.replace(message, max_bytes=SMALL_PAGE_BYTES)
        reply = self._request_owner(owner, short, timeout)
        if reply is None or not is_shortened(reply):
            return reply
        page = self._complete(near, owner, message, reply)
        if page is not None:
            return PageReply(known=reply.known, page=page)
        self._failing_until[near] = self._clock.now() + FAILING_SECONDS
        write(_LOGGER, events.CACHE_SILENT, cache=near, job=message.job)
        return self._request_owner(owner, message, timeout)

    def _request_missing(
        self, owner: InstanceId, message: ReadPage, timeout: float
    ) -> PageReply | None:
        """Request the results of a page that are not cached here."""
        identity, cached = self._cache.find(
            message.job, message.after, PAGE_BYTES
        )
        known = message.after + len(cached)
        stop = self._cache.find_next(message.job, known)
        asked = msgspec.structs.replace(
            message, known=known, stop=stop, identity=identity
        )
        reply = self._request_owner(owner, asked, timeout)
        if reply is None or reply.page is None or not reply.page.identity:
            return reply
        page = self._join(message, reply.page)
        if page.next >= reply.end:
            return PageReply(known=reply.known, page=page)
        # There is another gap, or the cache has no room for the page.
        return self._request_owner(owner, message, timeout)

    def _join(self, message: ReadPage, page: Page) -> Page:
        """Cache the results of a reply; return the page from its start.

        An owner that has just taken over may know fewer results than are
        cached.
        """
        first = page.next - len(page.results)
        self._cache.put(message.job, page.identity, first, page.results)
        identity, found = self._cache.find(
            message.job, message.after, PAGE_BYTES
        )
        last = message.after + len(found)
        if identity != page.identity or last < page.next:
            found = page.results if first == message.after else []
            last = message.after + len(found)
        return msgspec.structs.replace(page, next=last, results=found)

    def _complete(
        self,
        near: InstanceId,
        owner: InstanceId,
        message: ReadPage,
        reply: PageReply,
    ) -> Page | None:
        """Return a shortened page with the results that it lacks, or None."""
        page = reply.page
        if page is None:
            return None
        asked = ReadResults(
            owner=owner,
            page=msgspec.structs.replace(message, wait=0),
            identity=page.identity,
            end=reply.end,
        )
        try:
            found = self._bus.request(
                near, asked, ResultsReply, CACHE_TIMEOUT_SECONDS
            )
        except LinkError as error:
            _LOGGER.debug('%s sent no results: %s', near, error)
            return None
        if len(found.results) != reply.end - message.after:
            return None
        return msgspec.structs.replace(
            page, next=reply.end, results=found.results
        )

    def _on_read_results(self, _: InstanceId, message: Message) -> Message:
        asked = expect(message, ReadResults)
        return ResultsReply(results=self._find_results(asked))

    def _find_results(self, asked: ReadResults) -> list[Result]:
        """Return the results up to a position; none if any is missing."""
        after, count = asked.page.after, asked.end - asked.page.after
        identity, cached = self._cache.find(asked.page.job, after, PAGE_BYTES)
        if identity == asked.identity and len(cached) >= count:
            return cached[:count]
        reply = self._request_missing(
            asked.owner, asked.page, OWNER_TIMEOUT_SECONDS
        )
        page = None if reply is None else reply.page
        if page is None or page.identity != asked.identity:
            return []
        return page.results[:count] if len(page.results) >= count else []


def shorten_page(
    message: ReadPage, status: LookupStatus, page: Page | None
) -> PageReply:
    """Return the reply to a request, without results that it can do without."""
    if page is None:
        return PageReply(known=status)
    results, after, end = page.results, message.after, page.next
    if message.identity == page.identity:
        end = min(message.stop or end, end)
        first = max(message.known - after, 0)
        results = results[first : end - after]
    if sum(len(each.text) for each in results) > message.max_bytes:
        end, results = after, []
    short = msgspec.structs.replace(page, next=end, results=results)
    return PageReply(known=status, page=short, end=page.next)


def is_shortened(reply: PageReply) -> bool:
    """Return whether the owner left the last results out."""
    return reply.page is not None and reply.end > reply.page.next
