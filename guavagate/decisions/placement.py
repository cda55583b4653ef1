"""Chooses the sampler for a work item.

Load pattern: a third of all requests share one prompt prefix; others share
smaller ones; samplers join and leave.

Simpler choices fail: with least connections every sampler reads every prompt;
plain hashing keeps prefixes together, but puts the whole load of the hot one on
a single sampler and moves nearly all prefixes when a sampler leaves.

Work goes to the sampler that has cached the longest part of its prompt, among
those whose load is within `LOAD_BOUND` of the mean. If none has cached any of
it, it goes to the first sampler within the bound in the prefix's rendezvous
order. So equal prompts reach the same sampler, and only the prefixes of a
leaving sampler move. A choice is a function, so that the alternatives in
docs/adr/0011-sampler-choice.md are measured in the same place.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final

import xxhash

from guavagate.decisions._sampler import PoolSamplerState
from guavagate.decisions._work import Work, estimate_cost
from guavagate.models import SamplerId

# The requirement is 1.25 times the mean load. Running work is counted in whole
# items, which needs the margin.
LOAD_BOUND: Final = 1.2
_SEED_MASK: Final = 0xFFFFFFFFFFFFFFFF

Choose = Callable[
    [Work, Sequence[PoolSamplerState]], tuple[PoolSamplerState, str]
]


def choose_by_prefix(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> tuple[PoolSamplerState, str]:
    """Choose the longest cached prefix within the bound, else by rendezvous."""
    if not work.prefix_keys:
        return choose_least_loaded(work, samplers)
    within = _within_bound(work, samplers)
    best = within[0]
    matched = 0
    for state in within:
        count = state.prefixes.match(work.prefix_keys)
        nearer = compute_load(state) < compute_load(best)
        if count > matched or (matched and count == matched and nearer):
            best = state
            matched = count
    if matched:
        return best, f'holds {matched} of {len(work.prefix_keys)} prefix keys'
    key = work.prefix_keys[0]
    best = max(within, key=lambda state: rank(key, state.id))
    return best, 'first of the prefix in rendezvous order'


def choose_unbounded(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> tuple[PoolSamplerState, str]:
    """Choose the longest cached prefix at any load, to measure the bound."""
    if not work.prefix_keys:
        return choose_least_loaded(work, samplers)
    matches = [state.prefixes.match(work.prefix_keys) for state in samplers]
    matched = max(matches)
    if matched:
        return samplers[matches.index(matched)], 'holds the prefix'
    return choose_rendezvous(work, samplers)


def choose_rendezvous(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> tuple[PoolSamplerState, str]:
    """Choose by rendezvous hash of the prompt's first prefix."""
    key = work.prefix_keys[0] if work.prefix_keys else hash_id(work.id)
    best = max(samplers, key=lambda state: rank(key, state.id))
    return best, 'rendezvous order'


def choose_modulo(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> tuple[PoolSamplerState, str]:
    """Choose a position in the list by hash of the prompt's first prefix."""
    key = work.prefix_keys[0] if work.prefix_keys else hash_id(work.id)
    return samplers[key % len(samplers)], 'position by hash'


def choose_least_loaded(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> tuple[PoolSamplerState, str]:
    """Choose the lowest load per slot; prefer the work's zone among equals."""
    best = min(
        samplers,
        key=lambda state: (compute_load(state), state.info.zone != work.zone),
    )
    return best, 'least loaded'


def choose_least_of_two(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> tuple[PoolSamplerState, str]:
    """Choose the less loaded of two samplers given by the work's own hash."""
    pick = hash_id(work.id)
    count = len(samplers)
    first = samplers[pick % count]
    second = samplers[(pick // count) % count]
    best = min(first, second, key=compute_load)
    return best, 'less loaded of two'


def choose_least_connections(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> tuple[PoolSamplerState, str]:
    """Choose the fewest running requests; the baseline."""
    best = min(samplers, key=lambda state: len(state.running))
    return best, 'fewest connections'


def rank(key: int, sampler: SamplerId) -> int:
    """Return a sampler's rank in a key's rendezvous order."""
    return hash_id(sampler, key)


def hash_id(name: str, seed: int = 0) -> int:
    """Return the hash of an id, the same on every instance."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed & _SEED_MASK)


def compute_load(state: PoolSamplerState) -> float:
    """Return occupied slots per slot that the sampler may use."""
    if state.usable <= 0:
        return math.inf
    return state.occupied / state.usable


def _within_bound(
    work: Work, samplers: Sequence[PoolSamplerState]
) -> Sequence[PoolSamplerState]:
    running = sum(state.occupied for state in samplers)
    usable = sum(state.usable for state in samplers)
    bound = LOAD_BOUND * (running + 1) / max(usable, 1)
    within = [
        state
        for state in samplers
        if state.occupied < math.ceil(bound * state.usable)
    ]
    return within or samplers


def estimate_sampler_cost(
    work: Work, state: PoolSamplerState
) -> tuple[float, int]:
    """Return the cost on this sampler and the number of cached prefix keys."""
    keys = work.prefix_keys
    if not keys:
        return estimate_cost(work), 0
    matched = state.prefixes.match(keys)
    cached = work.prompt_tokens * matched / len(keys)
    return estimate_cost(work, cached), matched
