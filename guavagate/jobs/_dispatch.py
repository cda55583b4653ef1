"""Hands items out to samplers: by the forecast, as slots are free."""

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
from guavagate.jobs._runner import ItemRunner
from guavagate.jobs._schedule import (
    Placement,
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

# A sampler that has gone dark is asked so often whether it is back.
ASK_SECONDS: Final = 0.5
# The owner looks ten times a second. After a longer pause it was itself held
# up, and what its samplers have sent meanwhile is still to be read.
LATE_LOOK_SECONDS: Final = 0.4
# Between two looks at who is silent.
LOOK_SECONDS: Final = 0.1


class Dispatcher:
    """Starts and moves the items of one service's open jobs.

    Parameters
    ----------
    slots
        Slots of a sampler that does not tell how many it has.
    """

    def __init__(
        self,
        service: ServiceId,
        clock: Clock,
        upstreams: UpstreamTable,
        states: SamplerStates,
        client: SamplerClient,
        runner: ItemRunner,
        slots: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._clock = clock
        self._upstreams = upstreams
        self._states = states
        self._client = client
        self._runner = runner
        self._slots = slots
        self._metrics = metrics
        self._lengths = LengthEstimator()
        self._behind: set[tuple[JobId, GroupId]] = set()
        self._looked_at = clock.now()
        self._listens_since = clock.now()

    def record_text(self, work: JobWork, progress: ItemProgress) -> None:
        """Take in a text that is whole, for what is expected of others."""
        self._lengths.record(work.job.model, progress)

    def dispatch(self, works: Sequence[JobWork], now: float) -> None:
        """Start what has a free slot, and move what lags or hears nothing."""
        self._leave_silent(works, now)
        samplers = self._list_samplers(now)
        planned = self._forecast(works, now)
        by_id = {work.job.id: work for work in works}
        for placement in place(planned.groups, samplers, self._lengths):
            self._start(by_id[placement.job], placement, now)
        slow = find_moves(
            works, self._list_samplers(now), now, self._estimate_seconds
        )
        for progress in slow:
            self._move(progress)

    def _estimate_seconds(self, work: JobWork, progress: ItemProgress) -> float:
        """Return how long an item still takes at the usual pace, or 0."""
        model = work.job.model
        if not self._lengths.is_known(model):
            return 0
        return (
            self._lengths.estimate(model, progress).conservative
            * self._find_pace()
        )

    def _find_pace(self) -> float:
        serving = self._upstreams.serving(self._service)
        return find_median_interval(serving, self._states)

    def _leave_silent(self, works: Sequence[JobWork], now: float) -> None:
        """Have texts on samplers that have gone dark go on elsewhere."""
        if now - self._looked_at < LOOK_SECONDS:
            return
        if now - self._looked_at > LATE_LOOK_SECONDS:
            self._listens_since = now
        self._looked_at = now
        if now - self._listens_since < LATE_LOOK_SECONDS:
            return
        pace = self._find_pace()
        for name, runs in find_unresponsive(
            works, self._states, pace, now
        ).items():
            heard_at = max(progress.last_event_at for progress in runs)
            write(
                _LOGGER,
                events.SAMPLER_SILENT,
                sampler=name,
                streams=len(runs),
                seconds=round(now - heard_at, 2),
            )
            state = self._states.get(name)
            upstream = self._upstreams.get(name)
            if upstream is not None and not state.stalled:
                state.stalled = True
                self._clock.spawn(self._ask_again, upstream, state)
            for progress in runs:
                progress.cancel()

    def _ask_again(self, upstream: Upstream, state: SamplerState) -> None:
        """Ask a sampler that has gone dark until it answers."""
        while self._upstreams.get(upstream.id) == upstream:
            try:
                self._client.report(upstream)
            except UpstreamError as error:
                _LOGGER.debug('%s is silent: %s', upstream.id, error)
                self._clock.sleep(ASK_SECONDS)
            else:
                break
        state.stalled = False
        write(_LOGGER, events.SAMPLER_ANSWERS, sampler=upstream.id)
        self._states.notify()

    def _list_samplers(
        self, now: float, *, include_upcoming: bool = False
    ) -> list[SamplerSlots]:
        serving = self._upstreams.serving(self._service)
        return list_slots(
            serving,
            self._states,
            self._slots(),
            now,
            include_upcoming=include_upcoming,
        )

    def _forecast(self, works: Sequence[JobWork], now: float) -> Forecast:
        planned = forecast(
            works,
            sum_slots_by_model(self._list_samplers(now, include_upcoming=True)),
            self._find_pace(),
            self._lengths,
            now,
        )
        self._note_behind(planned, now)
        return planned

    def _note_behind(self, planned: Forecast, now: float) -> None:
        """Tell of each group once when it goes behind, and forget the rest."""
        behind = {
            (each.work.job.id, each.group): each
            for each in planned.groups
            if each.deferred
        }
        for key, plan in behind.items():
            if key not in self._behind:
                self._metrics.count(names.GROUPS_BEHIND)
                self._tell_behind(plan, planned, now)
        waiting = {(each.work.job.id, each.group) for each in planned.groups}
        self._behind = (self._behind & waiting) | behind.keys()

    def _tell_behind(
        self, plan: GroupPlan, planned: Forecast, now: float
    ) -> None:
        job = plan.work.job
        write(
            _LOGGER,
            events.GROUP_BEHIND,
            job=job.id,
            group=plan.group,
            model=job.model,
            waiting=len(plan.waiting),
            left=round(plan.due - now, 2),
            longest=round(plan.longest_seconds, 2),
            work=round(plan.slot_seconds, 1),
            backlog=round(planned.backlogs.get(job.model, 0), 2),
        )

    def _start(self, work: JobWork, placement: Placement, now: float) -> None:
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
        """Have an item that lags go on at a faster sampler."""
        write(
            _LOGGER,
            events.ITEM_MOVED,
            item=progress.item.id,
            sampler=progress.sampler,
            after=progress.text.last_number,
        )
        progress.moves += 1
        progress.cancel()
