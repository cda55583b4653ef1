"""Decides which texts leave samplers that are going away; no network access.

Failure pattern: the platform takes all spot samplers of a zone two to three
seconds after a notice. If their texts run on until then, all of them are cut at
the same moment and wait for slots together, the long ones behind whatever took
the free slots meanwhile, and each is read again from its start elsewhere. A
text that can't end in time therefore moves as soon as another sampler has a
free slot for it, the most valuable ones first, and only as many at a time as
the others can read. The short ones end where they are.

What remains of a zone's spot samplers, and those that come for the lost ones,
may go as well. New long texts therefore start elsewhere while there is room.
"""

import logging
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec

from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._schedule import EstimateSeconds, SamplerSlots
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import SamplerStates
from guavagate.routing import UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

# An estimate is off by more than this for most texts, and the result has to
# arrive here before the sampler is gone.
END_MARGIN_SECONDS: Final = 0.2
# A text that is cut now loses as much as by a move.
MIN_LEFT_SECONDS: Final = 0.1
# The interval between two stages, and how many texts a sampler takes in each.
# Reading a long text again takes a sampler 40 ms, in which its others wait.
STAGE_SECONDS: Final = 0.25
TEXTS_PER_STAGE: Final = 2
# How long new long texts keep off a zone's spot samplers after a reclaim.
# Reclaims of a zone follow each other within this time, if they do.
AVOID_SECONDS: Final = 20.0
# A text that takes longer can't end within a usual notice.
LONG_SECONDS: Final = 2.0
# How often that is estimated: it took 8 ms for six steps of 104 items.
ESTIMATE_SECONDS: Final = 0.5


class LeavingSampler(msgspec.Struct, frozen=True):
    """When a sampler goes, and its event interval relative to the median."""

    leaves_at: float
    relative_interval: float = 1


class ReclaimState(msgspec.Struct):
    """What is remembered between decisions; times on the runtime's clock."""

    staged_at: float | None = None
    reclaimed_at: dict[ZoneId, float] = {}
    estimated_at: float = 0
    jobs: list[JobId] = []
    long_texts: set[ItemId] = set()


def find_risky(
    upstreams: Iterable[Upstream], state: ReclaimState, now: float
) -> set[UpstreamId]:
    """Return the spot samplers of zones that were reclaimed recently."""
    listed = list(upstreams)
    for each in listed:
        if each.is_reclaimed:
            state.reclaimed_at[each.zone] = now
    zones = {
        zone
        for zone, at in state.reclaimed_at.items()
        if now - at < AVOID_SECONDS
    }
    return {each.id for each in listed if each.spot and each.zone in zones}


def update_long_texts(
    works: Sequence[JobWork],
    estimate_seconds: EstimateSeconds,
    state: ReclaimState,
    now: float,
) -> set[ItemId]:
    """Return the long texts, estimated again for each new job or in a while."""
    jobs = [work.job.id for work in works]
    if jobs != state.jobs or now - state.estimated_at >= ESTIMATE_SECONDS:
        state.jobs = jobs
        state.estimated_at = now
        state.long_texts = list_long_texts(works, estimate_seconds)
    return state.long_texts


def list_long_texts(
    works: Sequence[JobWork], estimate_seconds: EstimateSeconds
) -> set[ItemId]:
    """Return the unfinished texts that could not end within a notice."""
    return {
        progress.item.id
        for work in works
        for progress in work.items.values()
        if not progress.done
        and not progress.text.complete
        and estimate_seconds(work, progress) > LONG_SECONDS
    }


def choose_texts_to_move(
    works: Sequence[JobWork],
    leaving: Mapping[UpstreamId, LeavingSampler],
    samplers: Sequence[SamplerSlots],
    estimate_seconds: EstimateSeconds,
    state: ReclaimState,
    now: float,
) -> list[ItemProgress]:
    """Return the texts to move now, the most valuable first.

    Parameters
    ----------
    samplers
        The samplers that may take texts, with the slots that are free now;
        those that are taken are reserved.
    estimate_seconds
        Returns a text's remaining seconds at median speed; 0 if unknown, and
        then the text is not expected to end in time.
    """
    if state.staged_at is not None and now - state.staged_at < STAGE_SECONDS:
        return []
    candidates = []
    for work in works:
        wanted = _list_wanted(work) if leaving else set()
        for progress in work.items.values():
            sampler = leaving.get(progress.sampler or UpstreamId(''))
            if sampler is None or progress.run is None or progress.cancelled:
                continue
            remaining = estimate_seconds(work, progress)
            if _must_move(sampler, remaining, now):
                key = progress.item.group not in wanted, -remaining
                candidates.append((key, work, progress))
    if candidates:
        state.staged_at = now
    candidates.sort(key=lambda each: each[0])
    for target in samplers:
        target.free = min(target.free, TEXTS_PER_STAGE)
    return [
        progress
        for _, work, progress in candidates
        if _reserve_slot(work, samplers)
    ]


def _list_wanted(work: JobWork) -> set[str]:
    """Return the groups that the trainer waits for."""
    groups = dict.fromkeys(each.group for each in work.job.items)
    return set(list(groups)[: work.job.target_groups])


def _must_move(sampler: LeavingSampler, remaining: float, now: float) -> bool:
    """Return whether a text can't end where it is, and a move still helps."""
    left = sampler.leaves_at - now
    if left < MIN_LEFT_SECONDS:
        return False
    needed = remaining * sampler.relative_interval + END_MARGIN_SECONDS
    return not remaining or needed > left


def _reserve_slot(work: JobWork, samplers: Sequence[SamplerSlots]) -> bool:
    """Reserve a slot for a text; return whether there is one."""
    eligible = [
        sampler
        for sampler in samplers
        if sampler.free > 0 and sampler.may_run(work)
    ]
    if not eligible:
        return False
    max(eligible, key=lambda each: each.free).free -= 1
    return True


class Reclaims:
    """Keeps texts off a service's samplers that are, or may be, reclaimed."""

    def __init__(
        self,
        service: ServiceId,
        upstreams: UpstreamTable,
        states: SamplerStates,
        metrics: Metrics,
        estimate_seconds: EstimateSeconds,
    ) -> None:
        self._service = service
        self._upstreams = upstreams
        self._states = states
        self._metrics = metrics
        self._estimate_seconds = estimate_seconds
        self._state = ReclaimState()

    def mark_risky(
        self,
        works: Sequence[JobWork],
        samplers: Sequence[SamplerSlots],
        now: float,
    ) -> None:
        """Let long texts avoid spot samplers of recently reclaimed zones."""
        risky = find_risky(self._list_upstreams(), self._state, now)
        if risky:
            long_texts = update_long_texts(
                works, self._estimate_seconds, self._state, now
            )
            for sampler in samplers:
                if sampler.id in risky:
                    sampler.avoided_by = long_texts

    def move_texts(
        self,
        works: Sequence[JobWork],
        samplers: Sequence[SamplerSlots],
        now: float,
    ) -> None:
        """Move texts off samplers that leave before these could end."""
        leaving = self._list_leaving()
        if not leaving:
            return
        for progress in choose_texts_to_move(
            works, leaving, samplers, self._estimate_seconds, self._state, now
        ):
            left = leaving[progress.sampler or UpstreamId('')].leaves_at - now
            self._metrics.count(names.TEXTS_MOVED_OFF)
            write(
                _LOGGER,
                events.ITEM_MOVED_OFF,
                item=progress.item.id,
                group=progress.item.group,
                sampler=progress.sampler,
                after=progress.text.last_number,
                left=round(left, 2),
            )
            progress.cancel()

    def _list_leaving(self) -> dict[UpstreamId, LeavingSampler]:
        upstreams = self._list_upstreams()
        if not any(each.leaves_at is not None for each in upstreams):
            return {}
        median = self._states.find_usual_interval(upstreams)
        leaving = {}
        for upstream in upstreams:
            if upstream.leaving and upstream.leaves_at is not None:
                interval = self._states.get(upstream.id).usual_interval
                leaving[upstream.id] = LeavingSampler(
                    upstream.leaves_at,
                    interval / median if interval and median else 1,
                )
        return leaving

    def _list_upstreams(self) -> list[Upstream]:
        return [
            each
            for each in self._upstreams.registered()
            if each.service == self._service
        ]
