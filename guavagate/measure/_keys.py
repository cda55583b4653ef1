"""Load pattern with one hot prompt prefix."""

from typing import Final

import numpy as np

from guavagate.measure._faults import compute_hit_share
from guavagate.measure._policies import Policy
from guavagate.measure._record import Record
from guavagate.measure._scenario import (
    DRAIN_SECONDS,
    SAMPLERS,
    SLOTS,
    Figures,
    run_requests,
    select_arrivals,
    summarise,
)
from guavagate.measure._workload import (
    SHARED_KEYS_PER_PROMPT,
    Stream,
    compute_capacity,
    draw_requests,
)

_PREFIXES: Final = 200
_HOT_SHARE: Final = 0.3
_PROMPT_TOKENS: Final = 4_000
_MEAN_TOKENS: Final = 100
_CALLERS: Final = 20
_WARMUP_SECONDS: Final = 20.0
_END_SECONDS: Final = 110.0


def measure_hot_key(policy: Policy, seed: int) -> Figures:
    """Two hundred prefixes by Zipf's law; one has 30 % of all requests."""
    rng = np.random.default_rng(seed)
    weights = 1 / np.arange(1, _PREFIXES)
    cold = (1 - _HOT_SHARE) * weights / weights.sum()
    shares = np.concatenate(([_HOT_SHARE], cold))
    rate = 0.7 * compute_capacity(
        _MEAN_TOKENS, SAMPLERS, SLOTS, _PROMPT_TOKENS * 0.35
    )
    requests = []

    def draw_prefixes(size: int) -> np.ndarray:
        return rng.choice(_PREFIXES, size, p=shares)

    for caller in range(_CALLERS):
        stream = Stream(
            caller=f'caller-{caller}',
            rate=rate / _CALLERS,
            prompt_tokens=_PROMPT_TOKENS,
            timeout_seconds=30,
        )
        requests += draw_requests(rng, stream, 0, _END_SECONDS, draw_prefixes)
    simulation = run_requests(
        policy, requests, _END_SECONDS + DRAIN_SECONDS, seed=seed
    )
    records = select_arrivals(simulation, _WARMUP_SECONDS, _END_SECONDS)
    figures = summarise(records)
    best_share = _compute_best_hit_share(
        select_arrivals(simulation, 0, _END_SECONDS), _WARMUP_SECONDS
    )
    figures['hit_share'] = compute_hit_share(records)
    figures['hit_of_best'] = figures['hit_share'] / best_share
    loads = [engine.stream_seconds for engine in simulation.engines.values()]
    figures['load_worst_of_mean'] = max(loads) * len(loads) / sum(loads)
    return figures


def _compute_best_hit_share(records: list[Record], since: float) -> float:
    """Return the hit share of one unlimited cache shared by all samplers."""
    seen: set[tuple[int, ...]] = set()
    hits = 0
    total = 0
    for record in sorted(records, key=lambda item: item.request.at):
        shared = record.request.work.prefix_keys[:SHARED_KEYS_PER_PROMPT]
        if record.request.at >= since:
            total += SHARED_KEYS_PER_PROMPT + 1
            hits += SHARED_KEYS_PER_PROMPT * (shared in seen)
        seen.add(shared)
    return hits / max(total, 1)
