"""The pattern of a hot prompt prefix."""

from typing import Final

import numpy as np

from guavagate.measure._faults import hit_share
from guavagate.measure._policies import Policy
from guavagate.measure._record import Record
from guavagate.measure._scenario import (
    DRAIN_S,
    SAMPLERS,
    SLOTS,
    Figures,
    between,
    run_requests,
    summarise,
)
from guavagate.measure._workload import (
    SHARED_KEYS,
    Stream,
    capacity,
    draw_requests,
)

_PREFIXES: Final = 200
_HOT_SHARE: Final = 0.3
_PROMPT: Final = 4_000
_TOKENS: Final = 100
_CALLERS: Final = 20
_WARM_S: Final = 20.0
_END_S: Final = 110.0


def measure_hot_key(policy: Policy, seed: int) -> Figures:
    """Two hundred prefixes by Zipf's law; one has 30 % of all requests."""
    rng = np.random.default_rng(seed)
    weights = 1 / np.arange(1, _PREFIXES)
    cold = (1 - _HOT_SHARE) * weights / weights.sum()
    shares = np.concatenate(([_HOT_SHARE], cold))
    rate = 0.7 * capacity(_TOKENS, SAMPLERS, SLOTS, _PROMPT * 0.35)
    requests = []

    def pick(size: int) -> np.ndarray:
        return rng.choice(_PREFIXES, size, p=shares)

    for caller in range(_CALLERS):
        stream = Stream(
            caller=f'caller-{caller}',
            rate=rate / _CALLERS,
            prompt=_PROMPT,
            patience=30,
        )
        requests += draw_requests(rng, stream, 0, _END_S, pick)
    simulation = run_requests(policy, requests, _END_S + DRAIN_S, seed=seed)
    records = between(simulation, _WARM_S, _END_S)
    figures = summarise(records)
    best = _best_hit_share(between(simulation, 0, _END_S), _WARM_S)
    figures['hit_share'] = hit_share(records)
    figures['hit_of_best'] = figures['hit_share'] / best
    busy = [engine.busy for engine in simulation.engines.values()]
    figures['load_worst_of_mean'] = max(busy) * len(busy) / sum(busy)
    return figures


def _best_hit_share(records: list[Record], since: float) -> float:
    """Return the share were all caches one, and without end."""
    seen: set[tuple[int, ...]] = set()
    hits = 0
    total = 0
    for record in sorted(records, key=lambda item: item.request.at):
        shared = record.request.work.prefix_keys[:SHARED_KEYS]
        if record.request.at >= since:
            total += SHARED_KEYS + 1
            hits += SHARED_KEYS * (shared in seen)
        seen.add(shared)
    return hits / max(total, 1)
