"""Sends items to samplers as slots become free, ordered by the forecast."""

import logging
from collections.abc import Callable, Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import UpstreamError
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._forecast import Forecast, forecast
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._memory import (
    EngineMemory,
    make_memory_estimate,
    reserve_running,
)
from guavagate.jobs.scheduling._moves import (
    EstimateTime,
    Move,
    RemainingTime,
    find_moves,
    find_urgent_moves,
)
from guavagate.jobs.scheduling._reclaim import Reclaims
from guavagate.jobs.scheduling._reports import DispatchReports
from guavagate.jobs.scheduling._schedule import (
    ItemPlacement,
    SamplerSlots,
    place,
)
from guavagate.jobs.scheduling._slots import (
    count_reserved_slots,
    find_median_interval,
    get_no_memory,
    list_slots,
    sum_slots_by_model,
)
from guavagate.jobs.scheduling._sources import list_sources
from guavagate.jobs.scheduling._stalls import find_unresponsive
from guavagate.jobs.texts import ItemRunner
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.sampler import SamplerClient
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import SamplerState, SamplerStates
from guavagate.routing import UpstreamTable
from guavagate.warmup import ServiceStarts

_LOGGER: Final = logging.getLogger(__name__)

# The interval at which an unresponsive sampler is probed.
PROBE_INTERVAL_SECONDS: Final = 0.5
# The owner scans ten times a second. A longer pause means that the owner itself
# was blocked, and events that its samplers sent meanwhile are still unread.
OVERDUE_SCAN_SECONDS: Final = 0.4
# The interval between scans for unresponsive samplers.
SCAN_INTERVAL_SECONDS: Final = 0.1


class Dispatcher:
    """Starts and moves the items of one service's open jobs.

    Parameters
    ----------
    default_slots
        Returns the slots of a sampler that doesn't report how many it has.
    cache_tokens
        Returns the tokens that a sampler's engine holds; 0 if unknown.
    starts
        The limit on starts at each sampler; `None` if there is none.
    """

    def __init__(
        self,
        service: ServiceId,
        clock: Clock,
        upstreams: UpstreamTable,
        states: SamplerStates,
        client: SamplerClient,
        runner: ItemRunner,
        default_slots: Callable[[], int],
        metrics: Metrics,
        cache_tokens: Callable[[], int] = int,
        starts: ServiceStarts | None = None,
    ) -> None:
        self._service = service
        self._clock = clock
        self._upstreams = upstreams
        self._states = states
        self._client = client
        self._runner = runner
        self._default_slots = default_slots
        self._metrics = metrics
        self._cache_tokens = cache_tokens
        self._starts = starts
        self._ignored_estimates: set[str] = set()
        self._reports = DispatchReports(metrics)
        self._lengths = LengthEstimator()
        self._estimate = self._make_estimate()
        self._reclaims = Reclaims(
            service, upstreams, states, metrics, self._estimate_seconds
        )
        self._scanned_at = clock.now()
        self._resumed_at = clock.now()

    def record_text(self, work: JobWork, progress: ItemProgress) -> None:
        """Record a complete text, to estimate the lengths of others."""
        model = work.job.model
        self._lengths.record(model, progress)
        self._states.record_text(model, progress.text.last_number)
        useful = self._lengths.uses_estimates(model)
        if useful is (model in self._ignored_estimates):
            self._ignored_estimates ^= {model}
            write(_LOGGER, events.ESTIMATES_JUDGED, model=model, useful=useful)

    def record_results(self, work: JobWork) -> None:
        """Record the committed texts of a job that was taken over."""
        self._lengths.record_results(work)

    def dispatch(self, works: Sequence[JobWork], now: float) -> None:
        """Start waiting items; move items off slow or stalled samplers."""
        self._leave_unresponsive(works, now)
        estimate = self._make_estimate()
        self._estimate = estimate
        planned = self._forecast(works, now)
        slots, capacity = self._default_slots(), self._cache_tokens()
        memory = make_memory_estimate(self._lengths, capacity, slots)
        samplers = self._list_samplers(
            works, now, get_memory=reserve_running(works, capacity, memory)
        )
        self._reclaims.mark_risky(works, samplers, now)
        sources = list_sources(
            self._service,
            self._upstreams,
            self._states,
            self._find_median_interval(),
            slots,
        )
        moves = find_urgent_moves(
            works, samplers, now, estimate, memory, sources
        )
        by_id = {work.job.id: work for work in works}
        placements = place(planned.groups, samplers, self._lengths, memory)
        for placement in placements.started:
            self._start(by_id[placement.job], placement, now)
        moves += find_moves(works, samplers, now, estimate, memory, sources)
        for move in moves:
            self._move(move)
        self._reclaims.move_texts(works, samplers, now)
        self._reports.count_delayed(planned, samplers, placements)
        if capacity and planned.groups:
            self._reports.report_memory(samplers, placements)

    def _make_estimate(self) -> EstimateTime:
        """Return the function that estimates remaining times at this moment."""
        interval = self._find_median_interval()

        def estimate(work: JobWork, progress: ItemProgress) -> RemainingTime:
            model = work.job.model
            if not self._lengths.is_known(model):
                return RemainingTime()
            length = self._lengths.estimate(model, progress)
            return RemainingTime(
                length.typical * interval, length.conservative * interval
            )

        return estimate

    def _estimate_seconds(self, work: JobWork, progress: ItemProgress) -> float:
        """Return an item's remaining seconds at median speed; 0 if unknown."""
        return self._estimate(work, progress).conservative

    def _find_median_interval(self) -> float:
        serving = self._upstreams.serving(self._service)
        return find_median_interval(serving, self._states)

    def _leave_unresponsive(self, works: Sequence[JobWork], now: float) -> None:
        """Cancel runs on unresponsive samplers, so that they resume elsewhere.

        After a pause of the owner, scans are skipped for
        `OVERDUE_SCAN_SECONDS`: until the queued events are read, every stream
        seems stalled.
        """
        if now - self._scanned_at < SCAN_INTERVAL_SECONDS:
            return
        if now - self._scanned_at > OVERDUE_SCAN_SECONDS:
            self._resumed_at = now
        self._scanned_at = now
        if now - self._resumed_at < OVERDUE_SCAN_SECONDS:
            return
        interval = self._find_median_interval()
        for name, runs in find_unresponsive(
            works, self._states, interval, now
        ).items():
            last_event_at = max(progress.last_event_at for progress in runs)
            write(
                _LOGGER,
                events.SAMPLER_STALLED,
                sampler=name,
                streams=len(runs),
                seconds=round(now - last_event_at, 2),
            )
            state = self._states.get(name)
            upstream = self._upstreams.get(name)
            if upstream is not None and not state.unresponsive:
                state.unresponsive = True
                self._clock.spawn(self._probe_until_responsive, upstream, state)
            for progress in runs:
                progress.cancel()

    def _probe_until_responsive(
        self, upstream: Upstream, state: SamplerState
    ) -> None:
        """Probe an unresponsive sampler until it responds or leaves.

        Ends also if nothing may be sent to it any more, as its zone is
        evacuated. It counts as responsive when it may be used again.
        """
        while self._upstreams.get(upstream.id) == upstream:
            if self._upstreams.find_obstacle(upstream) is not None:
                break
            try:
                self._client.report(upstream)
            except UpstreamError as error:
                _LOGGER.debug(
                    'sampler %s is unresponsive: %s', upstream.id, error
                )
                self._clock.sleep(PROBE_INTERVAL_SECONDS)
            else:
                write(_LOGGER, events.SAMPLER_RECOVERED, sampler=upstream.id)
                break
        state.unresponsive = False
        self._states.notify()

    def _list_samplers(
        self,
        works: Sequence[JobWork],
        now: float,
        *,
        include_upcoming: bool = False,
        get_memory: Callable[[UpstreamId], EngineMemory] | None = None,
    ) -> list[SamplerSlots]:
        serving = self._upstreams.serving(self._service)
        return list_slots(
            serving,
            self._states,
            self._default_slots(),
            now,
            count_reserved_slots(works),
            self._client.count_idle_connections,
            get_memory or get_no_memory,
            self._get_limits(),
            self._upstreams.eligibility.region_of,
            include_upcoming=include_upcoming,
        )

    def _get_limits(self) -> ServiceStarts | None:
        limited = self._starts is not None and self._starts.applies()
        return self._starts if limited else None

    def _estimate_texts(self) -> dict[str, float]:
        """Return how long texts run, where a limit on starts matters."""
        if self._get_limits() is None:
            return {}
        serving = self._upstreams.serving(self._service)
        texts = self._states.estimate_texts(serving)
        return {model: each.mean for model, each in texts.items()}

    def _forecast(self, works: Sequence[JobWork], now: float) -> Forecast:
        planned = forecast(
            works,
            sum_slots_by_model(
                self._list_samplers(works, now, include_upcoming=True),
                self._estimate_texts(),
            ),
            self._find_median_interval(),
            self._lengths,
            now,
        )
        self._reports.report_deferred_groups(planned, now)
        return planned

    def _start(
        self, work: JobWork, placement: ItemPlacement, now: float
    ) -> None:
        upstream = self._upstreams.get(placement.sampler)
        if upstream is None:
            return
        progress = work.items[placement.item]
        progress.move_target = None
        limits = self._get_limits()
        # Planning takes a while, and a permit is valid from now on.
        starts_at = self._clock.now()
        if limits is not None and not limits.start(upstream.id, starts_at):
            return
        progress.sampler = upstream.id
        progress.started_at = now
        state = self._states.get(upstream.id)
        state.in_flight += 1
        write(
            _LOGGER,
            events.ITEM_STARTED,
            job=work.job.id,
            item=progress.item.id,
            group=progress.item.group,
            sampler=upstream.id,
            after=progress.text.last_number,
            held=state.in_flight,
        )
        self._clock.spawn(self._runner.run, work, progress, upstream)

    def _move(self, move: Move) -> None:
        """Cancel an item's run, so that it resumes on a faster sampler."""
        progress = move.progress
        write(
            _LOGGER,
            events.ITEM_MOVED,
            item=progress.item.id,
            sampler=progress.sampler,
            target=move.target,
            after=progress.text.last_number,
            gain=round(move.gain, 2),
            urgent=move.urgent,
        )
        self._metrics.count(
            names.TEXTS_MOVED, reason='urgent' if move.urgent else 'faster'
        )
        progress.moves += 1
        progress.move_target = move.target
        progress.cancel()
