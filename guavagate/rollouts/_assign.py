"""Assigns samplers to models; uses no network.

Load pattern: three trainers share six samplers, and each publishes a version
every few seconds. If every sampler served every model, each version would be
loaded six times; loads cost time and money. Therefore each model gets an equal
share of the samplers, and only those load its versions. With several samplers
per model, the shares are proportional to the trainers' workloads: with equal
shares, some samplers are idle while the largest steps are late. With few
samplers per model, the remainder goes to the largest workloads.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from guavagate.models import UpstreamId, WeightVersion

# Samplers per model from which shares are proportional. With fewer, one sampler
# is half of a model's capacity, and a model with a single sampler has none
# while that one is down.
PROPORTIONAL_MIN_SAMPLERS: Final = 4
# Quotas that are off by this many samplers are kept, because moving a sampler
# costs a load.
QUOTA_TOLERANCE: Final = 1
# An extra sampler moves only to a trainer whose workload is larger by this
# factor.
MOVE_WORKLOAD_RATIO: Final = 1.3

Versions = Mapping[UpstreamId, Mapping[str, WeightVersion]]
Assignment = dict[UpstreamId, frozenset[str]]


def assign_samplers(
    models: Sequence[str],
    versions: Versions,
    previous: Mapping[UpstreamId, frozenset[str]],
    workloads: Mapping[str, float] | None = None,
) -> Assignment:
    """Return the models that each sampler serves.

    Parameters
    ----------
    versions
        The versions that each usable sampler has loaded, by model. A sampler
        that has a model's newest version saves a load.
    previous
        The last assignment; kept where the quotas allow it.
    workloads
        The relative amount of work that each model's trainer submits.
    """
    samplers = sorted(versions)
    if not models or not samplers:
        return {}
    if len(samplers) < len(models):
        return {sampler: frozenset(models) for sampler in samplers}
    left = set(samplers)
    result: Assignment = {}
    counts = {model: _count_assigned(model, previous, left) for model in models}
    ranked = _rank_models(models, counts, workloads or {})
    for model, quota in _compute_quotas(
        ranked, len(samplers), workloads or {}, counts
    ):
        ordered = sorted(
            (model not in previous.get(each, ()), -loaded.get(model, 0), each)
            for each, loaded in versions.items()
            if each in left
        )
        chosen = [each[2] for each in ordered[:quota]]
        left.difference_update(chosen)
        result |= {each: frozenset((model,)) for each in chosen}
    return result


def _count_assigned(
    model: str,
    previous: Mapping[UpstreamId, frozenset[str]],
    samplers: set[UpstreamId],
) -> int:
    return sum(model in previous.get(each, ()) for each in samplers)


def _rank_models(
    models: Sequence[str],
    counts: Mapping[str, int],
    workloads: Mapping[str, float],
) -> list[str]:
    """Return the models in the order in which they get extra samplers.

    A model that already has an extra sampler keeps it, because moving it costs
    a load, unless another trainer's workload is so much larger that its steps
    would be late without it.
    """
    most = max(counts.values(), default=0)
    least = min(counts.values(), default=0)

    def weigh(model: str) -> float:
        keeps = most > least and counts[model] == most
        return workloads.get(model, 0) * (MOVE_WORKLOAD_RATIO if keeps else 1)

    return sorted(models, key=lambda each: (-weigh(each), -counts[each], each))


def _compute_quotas(
    models: list[str],
    samplers: int,
    workloads: Mapping[str, float],
    counts: Mapping[str, int],
) -> list[tuple[str, int]]:
    """Return the number of samplers of each model."""
    total = sum(workloads.get(model, 0) for model in models)
    proportional = samplers >= PROPORTIONAL_MIN_SAMPLERS * len(models)
    if not proportional or any(not workloads.get(model) for model in models):
        base, remainder = divmod(samplers, len(models))
        return [
            (model, base + (1 if number < remainder else 0))
            for number, model in enumerate(models)
        ]
    quotas = _round_shares(
        {each: samplers * workloads[each] / total for each in models}
    )
    close = all(
        abs(quotas[each] - counts[each]) <= QUOTA_TOLERANCE for each in models
    )
    is_kept = sum(counts.values()) == samplers and close
    return [
        (each, counts[each] if is_kept else quotas[each]) for each in models
    ]


def _round_shares(shares: Mapping[str, float]) -> dict[str, int]:
    """Return integer quotas with the same sum, at least one each."""
    quotas = {each: max(int(share), 1) for each, share in shares.items()}
    rest = round(sum(shares.values())) - sum(quotas.values())
    ordered = sorted(shares, key=lambda each: int(shares[each]) - shares[each])
    for each in ordered[: max(rest, 0)]:
        quotas[each] += 1
    for each in sorted(quotas, key=quotas.__getitem__, reverse=True):
        excess = min(max(-rest, 0), quotas[each] - 1)
        quotas[each] -= excess
        rest += excess
    return quotas
