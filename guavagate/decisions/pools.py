"""Chooses the pool of samplers that an entry requests a permit from.

Load pattern: 730 samplers behind 330 entries. If each entry chose among all
samplers, it would need every sampler's load: 29 KB/s per instance.

Without the bound on the load: the pool of a hot prefix fills its queue while
others are idle.

Pools of at most sixteen samplers are placed on a consistent-hash ring. A
prompt's first prefix gives the start on the ring, so that equal prompts share
one cache. A pool with more than `LOAD_BOUND` times the mean load is skipped.
Work without a prefix goes to the first pool in the entry's own zone. A ring is
used because rendezvous hashing took 50 us at 46 pools.
"""

import bisect
import functools
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from guavagate.decisions._work import Decision, Work
from guavagate.decisions.placement import hash_id
from guavagate.models import ZoneId

# The usual bound in the literature on consistent hashing: a quarter above the
# mean moves few prefixes and spreads a hot one over as many pools as needed.
LOAD_BOUND: Final = 1.25
# Points of each pool on the ring: at 128, shares differ by about a tenth.
POINTS_PER_POOL: Final = 128
# Pools examined to find one in the entry's own zone.
_MAX_ZONE_TRIES: Final = 8
_KEY_MASK: Final = 0xFFFFFFFFFFFFFFFF
# Below this share of a pool's slots work doesn't wait, so prefixes decide.
IDLE_LOAD: Final = 0.7
# Age at which a pool's load is disregarded; it counts less until then.
LOAD_MEMORY_SECONDS: Final = 5.0


class PoolView(msgspec.Struct, kw_only=True):
    """An entry's view of a pool, from the answers to its permit requests.

    Parameters
    ----------
    load
        Running and queued work per slot.
    reported_at
        When the load was reported, in seconds of the clock.
    """

    id: str
    zone: ZoneId = ZoneId('')
    slots: int = 1
    load: float = 0
    reported_at: float = 0
    refused_until: float = 0


def choose_pool(
    work: Work,
    pools: Sequence[PoolView],
    now: float,
) -> tuple[PoolView, Decision]:
    """Choose one of a deployment's pools; `pools` must not be empty."""
    bound: float | None = None
    fallback: PoolView | None = None
    for tried, pool in enumerate(_walk_ring(work, pools)):
        load = decay_load(pool, now)
        if load > IDLE_LOAD and bound is None:
            bound = _find_bound(pools, now)
        if now < pool.refused_until or load > (bound or IDLE_LOAD):
            continue
        if work.prefix_keys or pool.zone == work.zone:
            return pool, _decide(work, pool, 'first within the load bound')
        fallback = fallback or pool
        if tried >= _MAX_ZONE_TRIES:
            break
    if fallback is not None:
        return fallback, _decide(work, fallback, 'no near pool has room')
    least = min(pools, key=lambda pool: decay_load(pool, now))
    return least, _decide(work, least, 'all are over the load bound')


def _walk_ring(work: Work, pools: Sequence[PoolView]) -> Iterator[PoolView]:
    """Yield each pool once, in the order of the ring."""
    key = work.prefix_keys[0] if work.prefix_keys else hash_id(work.id)
    points, owners = _make_ring(tuple([pool.id for pool in pools]))
    start = bisect.bisect_left(points, key & _KEY_MASK)
    seen: set[int] = set()
    for index in (*owners[start:], *owners[:start]):
        if index not in seen:
            seen.add(index)
            yield pools[index]


def decay_load(pool: PoolView, now: float) -> float:
    """Return the pool's load, reduced by the age of the report."""
    left = 1 - (now - pool.reported_at) / LOAD_MEMORY_SECONDS
    if left <= 0:
        return 0
    return pool.load * min(left, 1)


def _find_bound(pools: Sequence[PoolView], now: float) -> float:
    loads = [decay_load(pool, now) for pool in pools]
    return max(LOAD_BOUND * sum(loads) / len(loads), IDLE_LOAD)


def _decide(work: Work, pool: PoolView, reason: str) -> Decision:
    return Decision(subject=work.id, kind='pool', choice=pool.id, reason=reason)


@functools.lru_cache(maxsize=64)
def _make_ring(pools: tuple[str, ...]) -> tuple[list[int], list[int]]:
    """Return the ring's sorted points, and the pool index of each."""
    ring = sorted(
        (hash_id(pool, point), index)
        for index, pool in enumerate(pools)
        for point in range(POINTS_PER_POOL)
    )
    return [point for point, _ in ring], [index for _, index in ring]
