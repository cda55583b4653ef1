"""Runs one item at one sampler, event by event."""

import logging
from collections.abc import Callable
from typing import Final

from gevent import getcurrent

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import (
    UpstreamError,
    UpstreamNotStartedError,
    UpstreamUnreachableError,
)
from guavagate.jobs._event_interval import EventIntervalMeter
from guavagate.jobs._models import Result, ResultState
from guavagate.jobs._work import ItemProgress, JobWork, Text
from guavagate.ports.sampler import (
    ItemFailedError,
    ItemImpossibleError,
    ItemRequest,
    SamplerClient,
    TextEvent,
)
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import SamplerStates
from guavagate.routing import UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

# Events come every 50 ms or so; during a load of weights nothing comes for
# about a second, and a preempted run is read again from its start.
SILENT_SECONDS: Final = 2.5
HEAD_SECONDS: Final = 3.0
# A sampler that is full or loads says so at once; its slot is asked for again
# after a while.
REFUSED_SECONDS: Final = 0.1
BROKEN_SECONDS: Final = 0.5

Finish = Callable[[JobWork, Result], None]
HandleCompleteText = Callable[[JobWork, ItemProgress], None]


class ItemRunner:
    """Runs items for an owner; each run is a task of its own."""

    def __init__(
        self,
        clock: Clock,
        client: SamplerClient,
        upstreams: UpstreamTable,
        states: SamplerStates,
        finish: Finish,
        handle_complete_text: HandleCompleteText,
    ) -> None:
        self._handle_complete_text = handle_complete_text
        self._clock = clock
        self._client = client
        self._upstreams = upstreams
        self._states = states
        self._finish = finish

    def run(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        """Run an item until it is done or breaks off; frees its slot."""
        began = self._clock.now()
        progress.task = getcurrent()
        progress.last_event_at = began
        progress.cancelled = False
        problem = ''
        try:
            self._stream(work, progress, upstream)
        except (ItemImpossibleError, ItemFailedError) as error:
            problem = type(error).__name__
            self._note_failed(work, progress, error)
        except UpstreamError as error:
            if not progress.cancelled:
                problem = str(error)
                self._note_broken(progress, upstream, error)
        finally:
            self._free(progress, upstream)
        if problem:
            write(
                _LOGGER,
                events.ITEM_BROKEN,
                job=work.job.id,
                item=progress.item.id,
                sampler=upstream.id,
                after=progress.text.last_number,
                seconds=round(self._clock.now() - began, 3),
                problem=problem,
            )

    def _stream(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        job = work.job
        self._keep_fitting(work, progress, upstream)
        request = ItemRequest(
            id=progress.item.id,
            host=job.host,
            path=progress.item.path,
            headers=progress.item.headers,
            body=progress.item.body,
            resume_after=progress.text.last_number,
            team=job.team,
        )
        with self._clock.timeout(HEAD_SECONDS, _silence(upstream)):
            run = self._client.run(upstream, request, job.model)
        progress.run = run
        self._states.get(upstream.id).unreachable = 0
        try:
            if progress.done or work.ended:
                return
            self._take_events(work, progress, upstream)
        finally:
            run.cancel()
        self._upstreams.record_success(upstream.id, 0)
        if not progress.done:
            progress.text.complete = True
            self._handle_complete_text(work, progress)

    def _take_events(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        assert progress.run is not None
        stream = progress.run.events()
        meter = EventIntervalMeter()
        last_at = self._clock.now()
        while True:
            with self._clock.timeout(SILENT_SECONDS, _silence(upstream)):
                event = next(stream, None)
            if event is None:
                return
            now = self._clock.now()
            progress.longest_gap = max(progress.longest_gap, now - last_at)
            pace = meter.record_event(now)
            if pace is not None:
                self._states.record_event_interval(upstream.id, pace)
            last_at = now
            progress.last_event_at = now
            self._take_event(work, progress, upstream, event)

    def _take_event(
        self,
        work: JobWork,
        progress: ItemProgress,
        upstream: Upstream,
        event: TextEvent,
    ) -> None:
        job = work.job
        if event.number != progress.text.last_number + 1:
            raise UpstreamError(
                f'{upstream.id} sent event {event.number} after'
                f' {progress.text.last_number}',
                'check the sampler; the item goes on after the last whole one',
            )
        self._states.record_version(upstream.id, job.model, event.version)
        progress.text.add(event)
        only = event.version if job.single_version else None
        if not progress.text.meets_version_bounds(job.min_version, only):
            progress.text = Text()
            raise UpstreamError(
                f'{upstream.id} made an event under version {event.version}',
                'nothing; the item starts anew under a version that fits',
            )

    def _keep_fitting(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        """Start anew what may not be gone on with here."""
        job = work.job
        only = None
        if job.single_version:
            only = self._states.get(upstream.id).versions.get(job.model)
        if not progress.text.meets_version_bounds(job.min_version, only):
            progress.text = Text()

    def _free(self, progress: ItemProgress, upstream: Upstream) -> None:
        progress.run = None
        progress.task = None
        progress.sampler = None
        self._states.get(upstream.id).in_flight -= 1
        self._states.notify()

    def _note_failed(
        self, work: JobWork, progress: ItemProgress, error: Exception
    ) -> None:
        """Note that a sampler ran an item and it failed."""
        progress.failures += 1
        tries = progress.failures
        hopeless = isinstance(error, ItemImpossibleError)
        if hopeless or tries >= work.job.max_attempts:
            result = Result(progress.item.id, ResultState.ERRORED, '', [])
            self._finish(work, result)

    def _note_broken(
        self, progress: ItemProgress, upstream: Upstream, error: UpstreamError
    ) -> None:
        now = self._clock.now()
        progress.retry_at = now
        state = self._states.get(upstream.id)
        if isinstance(error, UpstreamUnreachableError):
            state.unreachable += 1
            pause = REFUSED_SECONDS * 2 ** min(state.unreachable, 4)
            state.avoid_until = max(state.avoid_until, now + pause)
            return
        if isinstance(error, UpstreamNotStartedError):
            state.avoid_until = max(state.avoid_until, now + REFUSED_SECONDS)
            return
        load = self._upstreams.load(upstream.id)
        self._upstreams.record_failure(upstream.id)
        broken = now + BROKEN_SECONDS if load.failures > 1 else now
        state.avoid_until = max(state.avoid_until, broken, load.ejected_until)


def _silence(upstream: Upstream) -> Callable[[], Exception]:
    return lambda: UpstreamError(
        f'{upstream.id} was silent', 'check the sampler; the item goes on'
    )
