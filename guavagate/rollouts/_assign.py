"""Which samplers serve which model; needs no network.

Load pattern: three trainers share six samplers, and each names a version
every few seconds. If every sampler served every model, each version would be
loaded six times; loads cost time and are priced. So each model gets an equal
share of the samplers and only those load its versions. Where there are several
samplers to a model, the shares follow the work that its trainer submits: equal
ones leave some idle while the largest steps come late. With few, what is left
over goes to those that submit most.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from guavagate.models import UpstreamId, WeightVersion

# With fewer samplers to a model, one more or less is half of its capacity, and
# a model left with one has none while that one is gone.
SHARED_BY_WORK: Final = 4
# Shares that are off by one are left alone: moving a sampler costs a load.
KEPT_DIFFERENCE: Final = 1
# Nor is an odd sampler moved to a trainer that submits little more.
KEPT_RATIO: Final = 1.3

Versions = Mapping[UpstreamId, Mapping[str, WeightVersion]]
Assignment = dict[UpstreamId, frozenset[str]]


def assign_samplers(
    models: Sequence[str],
    versions: Versions,
    before: Mapping[UpstreamId, frozenset[str]],
    work: Mapping[str, float] | None = None,
) -> Assignment:
    """Return the models that each sampler serves.

    Parameters
    ----------
    versions
        What each usable sampler has now, by model. A sampler that has a
        model's newest version saves a load.
    before
        The last assignment; kept where the shares allow it.
    work
        What each model's trainer submits, against the others.
    """
    samplers = sorted(versions)
    if not models or not samplers:
        return {}
    if len(samplers) < len(models):
        return {sampler: frozenset(models) for sampler in samplers}
    left = set(samplers)
    result: Assignment = {}
    held_now = {model: _count(model, before, left) for model in models}
    ranked = _rank(models, held_now, work or {})
    for model, quota in _share(ranked, len(samplers), work or {}, held_now):
        ordered = sorted(
            (model not in before.get(each, ()), -held.get(model, 0), each)
            for each, held in versions.items()
            if each in left
        )
        chosen = [each[2] for each in ordered[:quota]]
        left.difference_update(chosen)
        result |= {each: frozenset((model,)) for each in chosen}
    return result


def _count(
    model: str,
    before: Mapping[UpstreamId, frozenset[str]],
    samplers: set[UpstreamId],
) -> int:
    return sum(model in before.get(each, ()) for each in samplers)


def _rank(
    models: Sequence[str],
    held: Mapping[str, int],
    work: Mapping[str, float],
) -> list[str]:
    """Return the models, the one that an odd sampler is for first.

    Whoever holds most keeps it, as moving it would cost a load, unless another
    trainer submits so much more that its steps would be late for want of it.
    """
    most = max(held.values(), default=0)
    least = min(held.values(), default=0)

    def weigh(model: str) -> float:
        keeps = most > least and held[model] == most
        return work.get(model, 0) * (KEPT_RATIO if keeps else 1)

    return sorted(models, key=lambda each: (-weigh(each), -held[each], each))


def _share(
    models: list[str],
    samplers: int,
    work: Mapping[str, float],
    held: Mapping[str, int],
) -> list[tuple[str, int]]:
    """Return how many samplers each model gets."""
    total = sum(work.get(model, 0) for model in models)
    by_work = samplers >= SHARED_BY_WORK * len(models)
    if not by_work or any(not work.get(model) for model in models):
        least, more = divmod(samplers, len(models))
        return [
            (model, least + (1 if number < more else 0))
            for number, model in enumerate(models)
        ]
    quotas = _round({each: samplers * work[each] / total for each in models})
    near = all(
        abs(quotas[each] - held[each]) <= KEPT_DIFFERENCE for each in models
    )
    kept = sum(held.values()) == samplers and near
    return [(each, held[each] if kept else quotas[each]) for each in models]


def _round(shares: Mapping[str, float]) -> dict[str, int]:
    """Return whole shares of the same sum, at least one each."""
    quotas = {each: max(int(share), 1) for each, share in shares.items()}
    rest = round(sum(shares.values())) - sum(quotas.values())
    ordered = sorted(shares, key=lambda each: int(shares[each]) - shares[each])
    for each in ordered[: max(rest, 0)]:
        quotas[each] += 1
    for each in sorted(quotas, key=quotas.__getitem__, reverse=True):
        taken = min(max(-rest, 0), quotas[each] - 1)
        quotas[each] -= taken
        rest += taken
    return quotas
