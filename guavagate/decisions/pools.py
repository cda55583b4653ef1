"""Which pool of samplers an entry asks for a permit.

Load pattern: 730 samplers behind 330 entries. Were each entry to choose among
all samplers, it would need every sampler's load, 29 KB/s at each node.
Without the bound on the load: the pool of a hot prefix fills its queue while
others idle.

Pools of at most sixteen samplers stand on a ring by consistent hashing; a
prompt's first prefix gives the place to start, so that equal prompts meet in
one cache. A pool fuller than `LOAD_BOUND` times the mean is passed over. For
work without a prefix the first pool in the entry's own availability zone is
taken. A ring, since rendezvous hashing took 50 us at 46 pools.
"""

import bisect
import functools
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from guavagate.decisions._work import Decision, Work
from guavagate.decisions.placement import hash_id
from guavagate.models import ZoneId

# The consistent-hashing literature's usual bound: a quarter above the mean
# costs few moved prefixes, and a hot one spreads over as many pools as needed.
LOAD_BOUND: Final = 1.25
# Points of each pool on the ring: shares differ by a tenth or so at 128.
POINTS: Final = 128
# Pools looked at for one in the entry's own availability zone.
_NEAR_TRIES: Final = 8
_KEY_MASK: Final = 0xFFFFFFFFFFFFFFFF
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
    bound: float | None = None
    fallback: PoolView | None = None
    for tried, pool in enumerate(_walk(work, pools)):
        load = decay_load(pool, now)
        if load > IDLE_LOAD and bound is None:
            bound = _find_bound(pools, now)
        if now < pool.refused_until or load > (bound or IDLE_LOAD):
            continue
        if work.prefix_keys or pool.zone == work.zone:
            return pool, _decide(work, pool, 'first within the load bound')
        fallback = fallback or pool
        if tried >= _NEAR_TRIES:
            break
    if fallback is not None:
        return fallback, _decide(work, fallback, 'no near pool has room')
    least = min(pools, key=lambda pool: decay_load(pool, now))
    return least, _decide(work, least, 'all are over the load bound')


def _walk(work: Work, pools: Sequence[PoolView]) -> Iterator[PoolView]:
    """Yield the pools along the ring, each once."""
    key = work.prefix_keys[0] if work.prefix_keys else hash_id(work.id)
    points, owners = _make_ring(tuple([pool.id for pool in pools]))
    start = bisect.bisect_left(points, key & _KEY_MASK)
    seen: set[int] = set()
    for index in (*owners[start:], *owners[:start]):
        if index not in seen:
            seen.add(index)
            yield pools[index]


def decay_load(pool: PoolView, now: float) -> float:
    """Return the pool's load, old knowledge counting less."""
    left = 1 - (now - pool.seen) / LOAD_MEMORY_S
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
    """Return the ring's points, sorted, and which pool owns each."""
    ring = sorted(
        (hash_id(pool, point), index)
        for index, pool in enumerate(pools)
        for point in range(POINTS)
    )
    return [point for point, _ in ring], [index for _, index in ring]
