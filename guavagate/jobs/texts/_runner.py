"""Runs an item on a sampler, event by event."""

import logging
import math
from collections.abc import Callable
from typing import Final

from gevent import getcurrent

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import (
    ContradictoryStreamError,
    UpstreamDisconnectedError,
    UpstreamError,
    UpstreamExcludedError,
    UpstreamNotStartedError,
    UpstreamUnreachableError,
)
from guavagate.jobs._models import Result, ResultState
from guavagate.jobs._work import ItemProgress, JobWork, Text
from guavagate.jobs.texts._event_interval import EventIntervalMeter
from guavagate.ports.sampler import (
    ItemFailedError,
    ItemImpossibleError,
    ItemRequest,
    SamplerClient,
    TextEvent,
)
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import BrokenRun, Quarantine
from guavagate.rollouts import SamplerStates
from guavagate.routing import UpstreamTable
from guavagate.util.backoff import compute_backoff

_LOGGER: Final = logging.getLogger(__name__)

# Events arrive about every 50 ms. A weight load stops them for about a second,
# and a sampler reads a preempted run again from its start.
STALL_TIMEOUT_SECONDS: Final = 2.5
RESPONSE_TIMEOUT_SECONDS: Final = 3.0
# A sampler that is full or loading refuses at once and is tried again after
# this time.
REFUSED_BACKOFF_SECONDS: Final = 0.1
# A sampler loads a version in about a second.
MAX_REFUSED_DOUBLINGS: Final = 3
FAILED_BACKOFF_SECONDS: Final = 0.5
# An item that lost its samplers this often resumes at once, as each loss may be
# chance. Further restarts are spaced, so that an item that ends its samplers
# doesn't take down one after the other. None waits longer than the maximum:
# nothing tells such an item from a sound one that met a burst of crashes.
MAX_IMMEDIATE_BREAKS: Final = 3
BREAK_BACKOFF_SECONDS: Final = 0.25
MAX_BREAK_BACKOFF_SECONDS: Final = 2.0

Finish = Callable[[JobWork, Result], None]
HandleCompleteText = Callable[[JobWork, ItemProgress], None]


class ItemRunner:
    """Runs the items of a job owner, each in its own task.

    Parameters
    ----------
    limits_starts
        Returns whether starts at samplers are limited. A refusal uses up a
        start too, so a sampler that refuses is then asked less and less often.
    max_text_bytes
        A longer text can't be stored, and would hold up the results behind it.
    """

    def __init__(
        self,
        clock: Clock,
        client: SamplerClient,
        upstreams: UpstreamTable,
        states: SamplerStates,
        quarantine: Quarantine,
        finish: Finish,
        handle_complete_text: HandleCompleteText,
        limits_starts: Callable[[], bool] = bool,
        max_text_bytes: float = math.inf,
    ) -> None:
        self._max_text_bytes = max_text_bytes
        self._limits_starts = limits_starts
        self._quarantine = quarantine
        self._handle_complete_text = handle_complete_text
        self._clock = clock
        self._client = client
        self._upstreams = upstreams
        self._states = states
        self._finish = finish

    def run(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        """Run an item until it ends or is interrupted; release its slot."""
        started_at = self._clock.now()
        progress.task = getcurrent()
        progress.last_event_at = started_at
        progress.cancelled = False
        problem = ''
        try:
            self._stream(work, progress, upstream)
        except (ItemImpossibleError, ItemFailedError) as error:
            problem = type(error).__name__
            self._handle_failure(work, progress, error)
        except UpstreamError as error:
            if not progress.cancelled:
                problem = str(error)
                self._handle_interruption(progress, upstream, error)
                self._record_break(progress, upstream, error)
        finally:
            self._release_slot(progress, upstream)
        if problem:
            write(
                _LOGGER,
                events.ITEM_INTERRUPTED,
                job=work.job.id,
                item=progress.item.id,
                content=work.job.describe(progress.item).identify().content,
                sampler=upstream.id,
                after=progress.text.last_number,
                seconds=round(self._clock.now() - started_at, 3),
                problem=problem,
                breaks=progress.breaks,
                wait=round(max(progress.retry_at - self._clock.now(), 0), 3),
            )

    def _record_break(
        self,
        progress: ItemProgress,
        upstream: Upstream,
        error: UpstreamError,
    ) -> None:
        """Space the restarts of an item, and report that a sampler may be gone.

        The run bears no identity: an item is owed, so the fleet never stops it.
        """
        if not isinstance(error, UpstreamDisconnectedError):
            return
        now = self._clock.now()
        progress.breaks += 1
        progress.retry_at = now + _compute_break_backoff(progress.breaks)
        started_at = progress.started_at or now
        run = BrokenRun(request=progress.item.id, seconds=now - started_at)
        self._quarantine.record_break(upstream, run)

    def _stream(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        job = work.job
        self._discard_unusable_text(work, progress, upstream)
        request = ItemRequest(
            id=progress.item.id,
            host=job.host,
            path=progress.item.path,
            headers=progress.item.headers,
            body=progress.item.body,
            resume_after=progress.text.last_number,
            team=job.team,
            regions=work.regions,
        )
        with self._clock.timeout(
            RESPONSE_TIMEOUT_SECONDS, _make_timeout_error(upstream)
        ):
            run = self._client.run(upstream, request, job.model)
        progress.run = run
        state = self._states.get(upstream.id)
        state.unreachable = 0
        state.refusals = 0
        try:
            if progress.done or work.ended:
                return
            self._read_events(work, progress, upstream)
        except ContradictoryStreamError:
            progress.text = Text()
            raise
        finally:
            run.cancel()
        self._upstreams.record_success(upstream.id, 0)
        if not progress.done:
            progress.text.complete = True
            self._handle_complete_text(work, progress)

    def _read_events(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        assert progress.run is not None
        stream = progress.run.events()
        meter = EventIntervalMeter()
        last_at = self._clock.now()
        while True:
            with self._clock.timeout(
                STALL_TIMEOUT_SECONDS, _make_timeout_error(upstream)
            ):
                event = next(stream, None)
            if event is None:
                return
            now = self._clock.now()
            progress.longest_gap = max(progress.longest_gap, now - last_at)
            interval = meter.record_event(now)
            if interval is not None:
                self._states.record_event_interval(upstream.id, interval)
            last_at = now
            progress.last_event_at = now
            self._apply_event(work, progress, upstream, event)

    def _apply_event(
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
                'check the sampler; the item resumes after the last good event',
            )
        self._states.record_version(upstream.id, job.model, event.version)
        progress.text.add(event)
        if progress.text.size > self._max_text_bytes:
            progress.text = Text()
            raise UpstreamError(
                f'{upstream.id} sent a longer text than can be stored',
                'check the sampler; the item starts over elsewhere',
            )
        single = event.version if job.single_version else None
        if not progress.text.meets_version_bounds(job.min_version, single):
            progress.text = Text()
            raise UpstreamError(
                f'{upstream.id} sent an event of version {event.version},'
                ' which the job does not accept',
                'no action needed; the item restarts with an accepted version',
            )

    def _discard_unusable_text(
        self, work: JobWork, progress: ItemProgress, upstream: Upstream
    ) -> None:
        """Restart a text whose versions forbid continuing it on the sampler."""
        job = work.job
        single = None
        if job.single_version:
            single = self._states.get(upstream.id).versions.get(job.model)
        if not progress.text.meets_version_bounds(job.min_version, single):
            progress.text = Text()

    def _release_slot(self, progress: ItemProgress, upstream: Upstream) -> None:
        progress.run = None
        progress.task = None
        progress.sampler = None
        self._states.get(upstream.id).in_flight -= 1
        self._states.notify()

    def _handle_failure(
        self, work: JobWork, progress: ItemProgress, error: Exception
    ) -> None:
        """Count a failure that the sampler reported; give up after the last."""
        progress.failures += 1
        failures = progress.failures
        permanent = isinstance(error, ItemImpossibleError)
        if permanent or failures >= work.job.max_attempts:
            result = Result(progress.item.id, ResultState.ERRORED, '', [])
            self._finish(work, result)

    def _handle_interruption(
        self, progress: ItemProgress, upstream: Upstream, error: UpstreamError
    ) -> None:
        now = self._clock.now()
        progress.retry_at = now
        state = self._states.get(upstream.id)
        if isinstance(error, UpstreamUnreachableError):
            state.unreachable += 1
            backoff = REFUSED_BACKOFF_SECONDS * 2 ** min(state.unreachable, 4)
            state.avoid_until = max(state.avoid_until, now + backoff)
            return
        if isinstance(error, UpstreamNotStartedError):
            refused = not isinstance(error, UpstreamExcludedError)
            if refused and now >= state.avoid_until:
                state.refusals += 1
            backoff = REFUSED_BACKOFF_SECONDS
            if self._limits_starts():
                backoff *= 2 ** min(
                    max(state.refusals - 1, 0), MAX_REFUSED_DOUBLINGS
                )
            state.avoid_until = max(state.avoid_until, now + backoff)
            return
        load = self._upstreams.load(upstream.id)
        self._upstreams.record_failure(upstream.id)
        retry_at = now + FAILED_BACKOFF_SECONDS if load.failures > 1 else now
        state.avoid_until = max(state.avoid_until, retry_at, load.ejected_until)


def _compute_break_backoff(breaks: int) -> float:
    """Return for how many seconds an item waits after its last break."""
    return compute_backoff(
        BREAK_BACKOFF_SECONDS,
        breaks - MAX_IMMEDIATE_BREAKS,
        MAX_BREAK_BACKOFF_SECONDS,
    )


def _make_timeout_error(upstream: Upstream) -> Callable[[], Exception]:
    return lambda: UpstreamError(
        f'{upstream.id} sent nothing before the timeout',
        'check the sampler; the item resumes elsewhere',
    )
