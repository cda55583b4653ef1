"""Shares samplers between models that are bound to regions; no network.

Failure pattern: a model's jobs may use samplers of one region only. Shared by
workload alone, most of the model's samplers are elsewhere: its steps wait, and
idle samplers load its versions for nothing. So bound models choose first, among
the samplers inside, and the others share what is left.
"""

from collections.abc import Mapping, Sequence

import msgspec

from guavagate.models import RegionId, Regions, UpstreamId
from guavagate.residency import is_inside
from guavagate.rollouts._allocation import (
    Allocation,
    AllocationState,
    allocate_samplers,
)
from guavagate.rollouts._assign import QUOTA_TOLERANCE, Assignment
from guavagate.rollouts._capacity import Fleet, ModelWork
from guavagate.rollouts._moves import find_newest

SamplerRegions = Mapping[UpstreamId, RegionId | None]


class ModelGroup(msgspec.Struct):
    """The models with the same regions, and the samplers that they may use.

    `chosen` are those that only these models get.
    """

    regions: Regions
    models: list[str]
    allowed: set[UpstreamId]
    chosen: set[UpstreamId] = set()


def allocate_within_regions(
    models: Sequence[str],
    fleet: Fleet,
    works: Mapping[str, ModelWork],
    previous: Assignment,
    states: dict[Regions, AllocationState],
    now: float,
    bounds: Mapping[str, Regions],
    sampler_regions: SamplerRegions,
) -> Allocation:
    """Return the models of each sampler; update `states`.

    A sampler that no model may use gets none. See `allocate_samplers`.

    Parameters
    ----------
    bounds
        The regions of each model's jobs.
    """
    groups = split_fleet(
        models, fleet, works, previous, bounds, sampler_regions
    )
    for gone in states.keys() - {each.regions for each in groups}:
        states.pop(gone)
    assignment: Assignment = dict.fromkeys(fleet, frozenset())
    parts = []
    for group in groups:
        part = allocate_samplers(
            group.models,
            {each: fleet[each] for each in sorted(group.chosen)},
            works,
            previous,
            states.setdefault(group.regions, AllocationState()),
            now,
        )
        parts.append(part)
        for sampler, served in part.assignment.items():
            assignment[sampler] |= served
    return _merge(assignment, parts)


def split_fleet(
    models: Sequence[str],
    fleet: Fleet,
    works: Mapping[str, ModelWork],
    previous: Assignment,
    bounds: Mapping[str, Regions],
    sampler_regions: SamplerRegions,
) -> list[ModelGroup]:
    """Return the models by their regions, those with the fewest samplers first.

    Each group gets its share by workload, as far as there are samplers inside.
    """
    groups = _group_models(models, fleet, bounds, sampler_regions)
    left = set(fleet)
    for number, group in enumerate(groups):
        later = groups[number + 1 :]
        usable = group.allowed & left
        wanted = _count_wanted(group, models, fleet, works, previous, usable)
        for_others = {
            sampler
            for sampler in left
            if any(sampler in each.allowed for each in later)
        }
        # What no later group may use, and at least one.
        least = max(len(usable - for_others), min(len(usable), 1))
        needed = sum(len(each.models) for each in later)
        most = len(usable) - max(needed - len(for_others - usable), 0)
        count = max(min(wanted, most), least)
        ordered = _order_samplers(group, fleet, previous, usable, for_others)
        # Without one of their own, they share those of others.
        group.chosen = set(ordered[:count]) or group.allowed
        left -= group.chosen
    return groups


def _group_models(
    models: Sequence[str],
    fleet: Fleet,
    bounds: Mapping[str, Regions],
    sampler_regions: SamplerRegions,
) -> list[ModelGroup]:
    by_regions: dict[Regions, list[str]] = {}
    for model in models:
        by_regions.setdefault(bounds.get(model), []).append(model)
    groups = [
        ModelGroup(
            regions,
            members,
            {
                each
                for each in fleet
                if is_inside(sampler_regions.get(each), regions)
            },
        )
        for regions, members in by_regions.items()
    ]
    return sorted(groups, key=lambda each: (len(each.allowed), each.models))


def _count_wanted(
    group: ModelGroup,
    models: Sequence[str],
    fleet: Fleet,
    works: Mapping[str, ModelWork],
    previous: Assignment,
    usable: set[UpstreamId],
) -> int:
    """Return a group's share of all samplers, or what it has if that is close.

    Moving a sampler costs a load.
    """
    loads = {
        each: works[each].workload if each in works else 0 for each in models
    }
    if not all(loads.values()):
        loads = dict.fromkeys(models, 1)
    share = sum(loads[each] for each in group.models) / sum(loads.values())
    wanted = round(len(fleet) * share)
    kept = sum(_is_kept(each, group, previous) for each in usable)
    return kept if abs(wanted - kept) <= QUOTA_TOLERANCE else wanted


def _order_samplers(
    group: ModelGroup,
    fleet: Fleet,
    previous: Assignment,
    usable: set[UpstreamId],
    for_others: set[UpstreamId],
) -> list[UpstreamId]:
    """Return samplers in the order in which a group takes them.

    First those that no other group may use, then those that it has, then those
    that have its newest versions.
    """
    newest = find_newest(fleet)

    def count_missing(sampler: UpstreamId) -> int:
        versions = fleet[sampler].versions
        return min(
            newest.get(model, 0) - versions.get(model, 0)
            for model in group.models
        )

    return sorted(
        usable,
        key=lambda each: (
            each in for_others,
            not _is_kept(each, group, previous),
            count_missing(each),
            each,
        ),
    )


def _is_kept(
    sampler: UpstreamId, group: ModelGroup, previous: Assignment
) -> bool:
    return not previous.get(sampler, frozenset()).isdisjoint(group.models)


def _merge(assignment: Assignment, parts: Sequence[Allocation]) -> Allocation:
    """Return one allocation, with the reason of the group that moved most."""
    main = max(parts, key=lambda each: each.moved)
    return Allocation(
        assignment,
        main.reason,
        moved=sum(each.moved for each in parts),
        delayed=sum(each.delayed for each in parts),
        gain=main.gain,
        quotients={
            model: quotient
            for each in parts
            for model, quotient in each.quotients.items()
        },
    )
