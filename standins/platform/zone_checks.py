"""Checks evacuation, warm-up and regions against what samplers received."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

from standins.platform.arrivals import Arrival
from standins.platform.topology import (
    BOUND_REGION,
    COLD_LIMIT,
    EVACUATE_SECONDS,
    REGION_OF,
)

Expect = Callable[[bool, str, str], None]

_WINDOW_SECONDS: Final = 1.0
# After a fault of the store the instances need this long to follow it again.
_FOLLOW_SECONDS: Final = 3.0
# Longest time for which a proxy holds back what was sent before.
_HELD_SECONDS: Final = 2.5


class Evacuated(msgspec.Struct, kw_only=True):
    """An evacuation that the store acknowledged; `until` is its removal."""

    zone: str
    since: float
    until: float = float('inf')


class Disturbances(msgspec.Struct, frozen=True, kw_only=True):
    """Times of faults that excuse an arrival.

    Attributes
    ----------
    store
        When the store, or the way to it, began and ceased to be disturbed.
    ways
        The same for the way to each sampler, by the sampler's name.
    """

    store: Sequence[float] = ()
    ways: dict[str, list[float]] = {}

    def compute_deadline(self, since: float) -> float:
        """Return when nothing new may arrive after an evacuation began."""
        deadline = since + EVACUATE_SECONDS
        for at in sorted(self.store):
            if since <= at <= deadline:
                deadline = max(deadline, at + _FOLLOW_SECONDS)
        return deadline

    def was_held(self, arrival: Arrival) -> bool:
        """Return whether a proxy may have held it back."""
        return _is_near(
            arrival.at, self.ways.get(arrival.sampler, ()), _HELD_SECONDS
        )


def make_disturbances(faults: Iterable[tuple[float, str]]) -> Disturbances:
    """Return the disturbances of a run by its faults; see `Disturbances`.

    The ways are `way` and the name of a sampler, or none for the store.
    """
    store: list[float] = []
    ways: dict[str, list[float]] = defaultdict(list)
    for at, what in faults:
        kind, _, sampler = what.partition(' ')
        if kind == 'store' or (kind == 'way' and not sampler):
            store.append(at)
        elif kind == 'way':
            ways[sampler].append(at)
    return Disturbances(store=store, ways=ways)


def _is_near(at: float, times: Iterable[float], seconds: float) -> bool:
    return any(time <= at <= time + seconds for time in times)


def check_evacuations(
    expect: Expect,
    arrivals: Iterable[Arrival],
    evacuations: Sequence[Evacuated],
    disturbances: Disturbances,
) -> None:
    """Check that nothing reached an evacuated zone after the bound.

    Probes, reports and orders count like requests.
    """
    deadlines = [
        disturbances.compute_deadline(each.since) for each in evacuations
    ]
    for arrival in arrivals:
        for evacuation, deadline in zip(evacuations, deadlines, strict=True):
            if evacuation.zone != arrival.zone:
                continue
            if not deadline < arrival.at < evacuation.until:
                continue
            expect(
                disturbances.was_held(arrival),
                'EVACUATED',
                f'{arrival.kind.value} {arrival.name} reached'
                f' {arrival.sampler} in {arrival.zone}'
                f' {arrival.at - evacuation.since:.2f} s after the evacuation'
                f' (deadline {deadline - evacuation.since:.2f} s)',
            )


def check_returns(
    expect: Expect,
    arrivals: Sequence[Arrival],
    evacuations: Iterable[Evacuated],
) -> None:
    """Check that a zone is in use again once its evacuation has ended."""
    for zone in {each.zone for each in evacuations} & REGION_OF.keys():
        ended = max(each.until for each in evacuations if each.zone == zone)
        used = any(each.at > ended and each.zone == zone for each in arrivals)
        expect(used, 'UNUSED', f'nothing reached {zone} since its return')


def check_cold_rates(
    expect: Expect,
    arrivals: Iterable[Arrival],
    disturbances: Disturbances,
) -> None:
    """Check each second in which a sampler was cold.

    What a proxy may have held back does not count: many requests of different
    seconds then arrive at once.
    """
    by_sampler: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        if arrival.is_cold_start and not disturbances.was_held(arrival):
            by_sampler[arrival.sampler].append(arrival.at)
    for sampler, times in by_sampler.items():
        times.sort()
        for number, at in enumerate(times):
            first = bisect_left(times, at - _WINDOW_SECONDS)
            count = number - first + 1
            expect(
                count <= COLD_LIMIT,
                'COLD',
                f'{sampler} got {count} requests in a second while cold,'
                f' at {at:.2f}',
            )


def check_regions(expect: Expect, arrivals: Iterable[Arrival]) -> None:
    """Check that requests with regions reached samplers inside only."""
    for arrival in arrivals:
        if arrival.bound:
            expect(
                REGION_OF[arrival.zone] == BOUND_REGION,
                'REGION',
                f'{arrival.name} reached {arrival.sampler} in {arrival.zone}',
            )
