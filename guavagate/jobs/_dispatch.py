"""Sends items to samplers as slots become free, ordered by the forecast."""

import logging
from collections.abc import Callable, Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import UpstreamError
from guavagate.jobs._forecast import Forecast, GroupPlan, forecast
from guavagate.jobs._lengths import LengthEstimator
from guavagate.jobs._models import GroupId, JobId
from guavagate.jobs._reclaim import Reclaims
from guavagate.jobs._runner import ItemRunner
from guavagate.jobs._schedule import (
    ItemPlacement,
    SamplerSlots,
    find_moves,
    place,
)
from guavagate.jobs._slots import (
    find_median_interval,
    list_slots,
    sum_slots_by_model,
)
from guavagate.jobs._stalls import find_unresponsive
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId
from guavagate.ports.sampler import SamplerClient
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import SamplerState, SamplerStates
from guavagate.routing import UpstreamTable

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
    ) -> None:
        self._service = service
        self._clock = clock
        self._upstreams = upstreams
        self._states = states
        self._client = client
        self._runner = runner
        self._default_slots = default_slots
        self._metrics = metrics
        self._lengths = LengthEstimator()
        self._reclaims = Reclaims(
            service, upstreams, states, metrics, self._estimate_seconds
        )
        self._deferred: set[tuple[JobId, GroupId]] = set()
        self._scanned_at = clock.now()
        self._resumed_at = clock.now()

    def record_text(self, work: JobWork, progress: ItemProgress) -> None:
        """Record a complete text, to estimate the lengths of others."""
        self._lengths.record(work.job.model, progress)
        self._states.record_text(work.job.model, progress.text.last_number)

    def dispatch(self, works: Sequence[JobWork], now: float) -> None:
        """Start waiting items; move items off slow or stalled samplers."""
        self._leave_unresponsive(works, now)
        samplers = self._list_samplers(now)
        self._reclaims.mark_risky(works, samplers, now)
        planned = self._forecast(works, now)
        by_id = {work.job.id: work for work in works}
        for placement in place(planned.groups, samplers, self._lengths):
            self._start(by_id[placement.job], placement, now)
        samplers = self._list_samplers(now)
        self._reclaims.mark_risky(works, samplers, now)
        for progress in find_moves(
            works, samplers, now, self._estimate_seconds
        ):
            self._move(progress)
        self._reclaims.move_texts(works, samplers, now)

    def _estimate_seconds(self, work: JobWork, progress: ItemProgress) -> float:
        """Return an item's remaining seconds at median speed; 0 if unknown."""
        model = work.job.model
        if not self._lengths.is_known(model):
            return 0
        return (
            self._lengths.estimate(model, progress).conservative
            * self._find_median_interval()
        )

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
        """Probe an unresponsive sampler until it responds or leaves."""
        while self._upstreams.get(upstream.id) == upstream:
            try:
                self._client.report(upstream)
            except UpstreamError as error:
                _LOGGER.debug(
                    'sampler %s is unresponsive: %s', upstream.id, error
                )
                self._clock.sleep(PROBE_INTERVAL_SECONDS)
            else:
                break
        state.unresponsive = False
        write(_LOGGER, events.SAMPLER_RECOVERED, sampler=upstream.id)
        self._states.notify()

    def _list_samplers(
        self, now: float, *, include_upcoming: bool = False
    ) -> list[SamplerSlots]:
        serving = self._upstreams.serving(self._service)
        return list_slots(
            serving,
            self._states,
            self._default_slots(),
            now,
            include_upcoming=include_upcoming,
        )

    def _forecast(self, works: Sequence[JobWork], now: float) -> Forecast:
        planned = forecast(
            works,
            sum_slots_by_model(self._list_samplers(now, include_upcoming=True)),
            self._find_median_interval(),
            self._lengths,
            now,
        )
        self._report_deferred_groups(planned, now)
        return planned

    def _report_deferred_groups(self, planned: Forecast, now: float) -> None:
        """Log and count a group once, however often it is deferred."""
        deferred = {
            (each.work.job.id, each.group): each
            for each in planned.groups
            if each.deferred
        }
        for key, plan in deferred.items():
            if key not in self._deferred:
                self._metrics.count(names.GROUPS_DEFERRED)
                self._log_deferred_group(plan, planned, now)
        waiting = {(each.work.job.id, each.group) for each in planned.groups}
        self._deferred = (self._deferred & waiting) | deferred.keys()

    def _log_deferred_group(
        self, plan: GroupPlan, planned: Forecast, now: float
    ) -> None:
        job = plan.work.job
        write(
            _LOGGER,
            events.GROUP_DEFERRED,
            job=job.id,
            group=plan.group,
            model=job.model,
            waiting=len(plan.waiting),
            left=round(plan.due - now, 2),
            longest=round(plan.longest_seconds, 2),
            work=round(plan.slot_seconds, 1),
            backlog=round(planned.backlogs.get(job.model, 0), 2),
        )

    def _start(
        self, work: JobWork, placement: ItemPlacement, now: float
    ) -> None:
        upstream = self._upstreams.get(placement.sampler)
        if upstream is None:
            return
        progress = work.items[placement.item]
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

    def _move(self, progress: ItemProgress) -> None:
        """Cancel an item's run, so that it resumes on a faster sampler."""
        write(
            _LOGGER,
            events.ITEM_MOVED,
            item=progress.item.id,
            sampler=progress.sampler,
            after=progress.text.last_number,
        )
        progress.moves += 1
        progress.cancel()
