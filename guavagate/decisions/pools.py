"""Which pool of samplers an entry asks for a permit.

Load pattern: 730 samplers behind 330 entries. Were each entry to choose among
all samplers, it would need every sampler's load, 29 KB/s at each node.
Without the bound on the load: the pool of a hot prefix fills its queue while
others idle.

Pools of at most sixteen samplers are ordered by rendezvous hashing of the
prompt's first prefix, so that equal prompts meet in one cache; a pool that is
fuller than `LOAD_BOUND` times the mean is passed over. Among pools of equal
standing the nearer availability zone goes first.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from guavagate.decisions._work import Decision, Work
from guavagate.decisions.placement import hash_id
from guavagate.models import ZoneId

# The consistent-hashing literature's usual bound: a quarter above the mean
# costs few moved prefixes, and a hot one spreads over as many pools as needed.
LOAD_BOUND: Final = 1.25
# Loads below this share of a pool's slots cost no wait: prefixes go first.
IDLE_LOAD: Final = 0.7
# A load learnt longer ago than this says nothing any more, in seconds.
LOAD_MEMORY_S: Final = 5.0


class PoolView(msgspec.Struct, kw_only=True):
    """A pool as an entry knows it from its permits' answers.

    Parameters
    ----------
    load
        Running and queued work per slot.
    seen
        When the load was learnt, in the clock's seconds.
    """

    id: str
    zone: ZoneId = ZoneId('')
    slots: int = 1
    load: float = 0
    seen: float = 0
    refused_until: float = 0


def choose_pool(
    work: Work,
    pools: Sequence[PoolView],
    now: float,
) -> tuple[PoolView, Decision]:
    """Choose one of a deployment's pools; `pools` must not be empty."""
    key = work.prefix_keys[0] if work.prefix_keys else None
    if key is None:
        key = hash_id(work.id)
    loads = [fade_load(pool, now) for pool in pools]
    mean = sum(loads) / len(loads)
    bound = max(mean * LOAD_BOUND, IDLE_LOAD)
    best: PoolView | None = None
    best_rank: tuple[bool, int] = (False, -1)
    for pool, load in zip(pools, loads, strict=True):
        if load > bound or now < pool.refused_until:
            continue
        near = not work.prefix_keys and pool.zone == work.zone
        rank = (near, hash_id(pool.id, key))
        if rank > best_rank:
            best, best_rank = pool, rank
    reason = 'first of the prefix within the load bound'
    if best is None:
        best = pools[loads.index(min(loads))]
        reason = 'all pools are over the load bound; the least loaded'
    return best, Decision(
        subject=work.id, kind='pool', choice=best.id, reason=reason
    )


def fade_load(pool: PoolView, now: float) -> float:
    """Return the pool's load, old knowledge counting less."""
    age = max(now - pool.seen, 0)
    return pool.load * max(1 - age / LOAD_MEMORY_S, 0)
