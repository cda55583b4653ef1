"""Selects the samplers that can be given items now."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from guavagate.jobs._work import JobWork
from guavagate.jobs.scheduling._memory import EngineMemory
from guavagate.jobs.scheduling._schedule import SamplerSlots
from guavagate.models import RegionId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import SamplerStates
from guavagate.warmup import ServiceStarts

# About the duration of a weight load, and of the first backoff after a failure.
UPCOMING_SECONDS: Final = 1.0
_NONE_RESERVED: Final[Mapping[UpstreamId, int]] = MappingProxyType({})
_UNKNOWN_SECONDS: Final[Mapping[str, float]] = MappingProxyType({})
_NO_REGIONS: Final[Mapping[ZoneId, RegionId]] = MappingProxyType({})


def get_no_memory(_: UpstreamId) -> EngineMemory:
    """Return the memory of an engine without a known limit."""
    return EngineMemory()


def list_slots(
    serving: Sequence[Upstream],
    states: SamplerStates,
    default_slots: int,
    now: float,
    reserved: Mapping[UpstreamId, int] = _NONE_RESERVED,
    count_idle: Callable[[Upstream], int] | None = None,
    get_memory: Callable[[UpstreamId], EngineMemory] = get_no_memory,
    starts: ServiceStarts | None = None,
    region_of: Mapping[ZoneId, RegionId] = _NO_REGIONS,
    *,
    include_upcoming: bool = False,
) -> list[SamplerSlots]:
    """Return the samplers that aren't loading, backing off or unresponsive.

    Parameters
    ----------
    default_slots
        Slots of a sampler that doesn't report how many it has.
    reserved
        The slots that are reserved for items that move.
    count_idle
        Returns the idle connections to a sampler.
    get_memory
        Returns the memory of a sampler's engine.
    starts
        The limit on starts at each sampler, if the service has one.
    region_of
        The region of each zone.
    include_upcoming
        Whether to include samplers that become available within
        `UPCOMING_SECONDS`. A forecast needs them: while a model's samplers
        load it has no slots, but the load ends before anything is late.
    """
    until = now + UPCOMING_SECONDS if include_upcoming else now
    known = [(each, states.get(each.id)) for each in serving]
    median = find_median_interval(serving, states)
    listed = []
    for upstream, state in known:
        if state.unresponsive or state.avoid_until > until:
            continue
        if state.loading and not include_upcoming:
            continue
        slots = upstream.slots or default_slots
        used = state.in_flight + reserved.get(upstream.id, 0)
        listed.append(
            SamplerSlots(
                id=upstream.id,
                versions=state.versions,
                free=max(slots - used, 0),
                slots=slots,
                relative_interval=state.event_interval / median
                if median and state.event_interval
                else 1.0,
                idle_connections=count_idle(upstream) if count_idle else 0,
                measured=state.event_interval > 0,
                models=states.get_models(upstream.id),
                memory=get_memory(upstream.id),
                region=region_of.get(upstream.zone),
            )
        )
        if starts is not None:
            moving = reserved.get(upstream.id, 0)
            _limit_starts(listed[-1], starts, moving, now)
    return listed


def _limit_starts(
    sampler: SamplerSlots, starts: ServiceStarts, moving: int, now: float
) -> None:
    """Hold back the free slots that may not be used yet."""
    allowed = max(starts.count_allowed(sampler.id, now) - moving, 0)
    sampler.held_back = max(sampler.free - allowed, 0)
    sampler.free -= sampler.held_back
    sampler.cold = starts.is_cold(sampler.id, now)
    sampler.rate = starts.find_rate(sampler.id, now)


def count_reserved_slots(works: Iterable[JobWork]) -> dict[UpstreamId, int]:
    """Return the slots that are reserved for items that move, by sampler."""
    return Counter(
        progress.move_target
        for work in works
        for progress in work.items.values()
        if progress.move_target is not None
        and not (progress.done or progress.text.complete)
    )


def find_median_interval(
    serving: Sequence[Upstream], states: SamplerStates
) -> float:
    """Return the samplers' median event interval in seconds; 0 if unknown.

    A few samplers that have become slow don't shift the median.
    """
    intervals = sorted(
        interval
        for each in serving
        if (interval := states.get(each.id).event_interval)
    )
    return intervals[len(intervals) // 2] if intervals else 0


def sum_slots_by_model(
    samplers: Sequence[SamplerSlots],
    text_seconds: Mapping[str, float] = _UNKNOWN_SECONDS,
) -> dict[str, float]:
    """Return each model's share of the slots, in slots of median speed.

    A sampler that serves several models counts for each in equal parts, and
    one that takes twice the median interval for an event counts half. A limit
    on starts leaves slots empty where texts are short.

    Parameters
    ----------
    text_seconds
        How long the texts of each model run at median speed, if known.
    """
    slots: dict[str, float] = {}
    for sampler in samplers:
        for model in sampler.models:
            used = sampler.slots / sampler.relative_interval
            if model in text_seconds:
                used = min(used, sampler.rate * text_seconds[model])
            share = used / len(sampler.models)
            slots[model] = slots.get(model, 0) + share
    return slots
