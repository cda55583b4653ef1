"""Tests of single safeguards: each fails with its safeguard switched off."""

import pytest

from guavagate.decisions import (
    ALL_SAFEGUARDS,
    Kind,
    Placement,
    Pool,
    PoolSettings,
    PoolView,
    Safeguard,
    SamplerInfo,
    Work,
    choose_pool,
    decide_weight_swap,
)
from guavagate.decisions.limits import ConcurrencyLimit
from guavagate.decisions.prefixes import PrefixIndex
from guavagate.models import (
    CallerId,
    RequestId,
    RunId,
    SamplerId,
    TeamId,
    ZoneId,
)


def _pool(*off: Safeguard, samplers: int = 2, slots: int = 8) -> Pool:
    infos = [
        SamplerInfo(id=SamplerId(f's{index}'), slots=slots)
        for index in range(samplers)
    ]
    return Pool(PoolSettings(safeguards=ALL_SAFEGUARDS - set(off)), infos, 0)


def _work(name: str, caller: str = 'desk', **fields: object) -> Work:
    return Work(
        id=RequestId(name),
        team=TeamId('trust'),
        caller=CallerId(caller),
        **fields,  # type: ignore[arg-type]
    )


def _ids(placements: list[Placement]) -> list[str]:
    return [placement.work.id for placement in placements]


@pytest.mark.parametrize('on', [True, False])
def test_headroom_is_left_by_a_caller_beyond_its_share(on: bool) -> None:
    """Eight callers are known; one of them asks for every slot.

    The last eighth of the slots stays for the others, whose next request
    starts at once.
    """
    pool = _pool() if on else _pool(Safeguard.HEADROOM)
    for caller in range(7):
        pool.offer(_work(f'known-{caller}', f'caller-{caller}'), 0)
    for placement in pool.place(0):
        pool.finish(placement.work.id, placement.sampler, 1, tokens=100)
    for number in range(40):
        pool.offer(_work(f'hot-{number}', 'hot'), 1)
    assert len(pool.place(1)) == (14 if on else 16)
    pool.offer(_work('light', 'caller-1'), 1)
    assert _ids(pool.place(1)) == (['light'] if on else [])


@pytest.mark.parametrize('on', [True, False])
def test_long_work_leaves_slots_to_short_work(on: bool) -> None:
    """Short requests kept coming; in a pause long samples fill the slots.

    The next short request starts at once, since running work is never
    interrupted for it.
    """
    off = (
        (Safeguard.HEADROOM,) if on else (Safeguard.HEADROOM, Safeguard.RESERVE)
    )
    pool = _pool(*off)
    for number in range(60):
        pool.offer(_work(f'short-{number}'), number * 0.1)
        for placement in pool.place(number * 0.1):
            pool.finish(placement.work.id, placement.sampler, 6, tokens=256)
    for number in range(30):
        pool.offer(
            _work(f'sample-{number}', kind=Kind.ROLLOUT, run=RunId('r')), 6
        )
    pool.place(6)
    pool.offer(_work('next'), 6.1)
    assert _ids(pool.place(6.1)) == (['next'] if on else [])


def test_short_work_passes_long_work_of_the_same_caller() -> None:
    """In order of arrival it would wait for the long job to start first."""
    for off, first in (((), 'short'), ((Safeguard.ORDER,), 'long')):
        pool = _pool(*off, samplers=1, slots=1)
        pool.offer(_work('running'), 0)
        running = pool.place(0)[0]
        pool.offer(_work('long', expected_tokens=4_000), 0)
        pool.offer(_work('short', expected_tokens=100), 1)
        pool.finish(running.work.id, running.sampler, 5, tokens=256)
        assert _ids(pool.place(5)) == [first]


def test_long_work_is_not_passed_for_ever() -> None:
    """Its place in line is bounded by the target stretch: no starvation."""
    pool = _pool(samplers=1, slots=1)
    pool.offer(_work('long', expected_tokens=500), 0)
    pool.offer(_work('first', expected_tokens=10), 0)
    started: list[str] = []
    for second in range(100):
        pool.offer(_work(f'short-{second}', expected_tokens=50), second)
        for placement in pool.place(second):
            started.append(placement.work.id)
            pool.finish(
                placement.work.id, placement.sampler, second + 1, tokens=50
            )
    assert 'long' in started


def test_queued_work_is_expired_only_with_the_safeguard() -> None:
    """Without it, work is held back until its caller has long given up."""
    for off, expired in (((), ['b']), ((Safeguard.EXPIRY,), [])):
        pool = _pool(*off, samplers=1, slots=1)
        pool.offer(_work('a', deadline=20), 0)
        pool.offer(_work('b', deadline=20), 0)
        pool.place(0)
        assert [late.work_id for late in pool.expire(19)] == expired


def test_a_lost_eviction_costs_one_miss() -> None:
    """The engine has evicted all; the events were lost in a gap.

    One answer that finds its prefix missing shows that everything older is
    gone as well. Without healing the index believes in it for good.
    """
    for heal, left in ((True, 1), (False, 4)):
        index = PrefixIndex(heal=heal)
        for key in range(3):
            index.store((key,), key)
        index.store((9,), 10)
        assert index.apply(0, [('stored', 0)], 11) is False
        assert index.apply(40, [('stored', 9)], 12) is True
        index.record_eviction(index.last_seen(2))
        assert len(index) == left


def test_an_engine_that_starts_again_has_nothing_cached() -> None:
    """Its event numbers start again from zero."""
    index = PrefixIndex()
    index.apply(0, [('stored', 1), ('stored', 2)], 0)
    assert index.apply(0, [('stored', 3)], 1) is True
    assert (index.match((1,)), index.match((3,))) == (0, 1)


def _answer(limit: ConcurrencyLimit, holds: int, seconds: int) -> None:
    """Let a full engine answer once a second; more than it holds swaps."""
    for now in range(seconds):
        streams = limit.value
        swapping = max(streams / holds, 1) ** 2
        limit.learn(0.02 * swapping, streams, now, now)


@pytest.mark.parametrize(('configured', 'holds'), [(16, 8), (4, 8)])
def test_the_limit_is_found_when_settings_are_wrong(
    configured: int, holds: int
) -> None:
    """The engine holds twice or half as many streams as configured."""
    limit = ConcurrencyLimit(configured, learning=True)
    _answer(limit, holds, 5_000)
    assert abs(limit.value - holds) <= 1
    fixed = ConcurrencyLimit(configured, learning=False)
    _answer(fixed, holds, 5_000)
    assert fixed.value == configured


def test_the_limit_outlives_a_slow_spell() -> None:
    """A pace that is worse at the same number says nothing about it."""
    limit = ConcurrencyLimit(8, learning=True)
    for now in range(1_000):
        slow = 10 if 200 <= now < 400 else 1
        swapping = max(limit.value / 8, 1) ** 2
        limit.learn(0.02 * slow * swapping, limit.value, now, now)
    assert abs(limit.value - 8) <= 1


def test_a_million_callers_leave_no_memory() -> None:
    """Flows without queued work are forgotten; three thousand of them here."""
    pool = _pool(samplers=1, slots=4)
    for number in range(3_000):
        pool.offer(_work(f'r{number}', f'caller-{number}'), number)
        for placement in pool.place(number):
            pool.finish(placement.work.id, placement.sampler, number, tokens=9)
    assert pool.count_flows() < 10


def test_a_full_pool_is_passed_over() -> None:
    """The hot prefix's own pool is over the bound; the next one takes it."""
    work = _work('a', prefix_keys=(5,))
    pools = [PoolView(id=f'pool-{index}', slots=8) for index in range(4)]
    first, _ = choose_pool(work, pools, 0)
    first.load = 3
    second, decision = choose_pool(work, pools, 0)
    assert second is not first
    assert decision.choice == second.id


def test_work_without_a_prefix_stays_in_its_zone() -> None:
    """The nearer pool is taken while it has room."""
    zones = ('jhb-east', 'jhb-west')
    pools = [PoolView(id=f'p-{zone}', zone=ZoneId(zone)) for zone in zones]
    for number in range(20):
        work = _work(f'r{number}', zone=ZoneId('jhb-west'))
        assert choose_pool(work, pools, 0)[0].zone == 'jhb-west'


def test_a_lost_pool_moves_only_its_own_prefixes() -> None:
    """Prefixes of the pools that stay keep their caches."""
    pools = [PoolView(id=f'pool-{index}') for index in range(10)]
    moved = 0
    for key in range(1_000):
        work = _work('a', prefix_keys=(key * 7_919_777_777_777_777,))
        before, _ = choose_pool(work, pools, 0)
        after, _ = choose_pool(work, pools[1:], 0)
        moved += before is not after
        assert before is after or before is pools[0]
    assert 0 < moved < 200


def test_the_weights_decide_when_to_swap() -> None:
    """The Authority weighs staleness, the Trust its trainers' idle time."""
    authority, _, _ = decide_weight_swap(
        in_flight_share=0.2,
        seconds_left=10,
        versions_behind=1,
        step_seconds=60,
        staleness_weight=3,
        idle_weight=1,
    )
    trust, _, _ = decide_weight_swap(
        in_flight_share=0.2,
        seconds_left=10,
        versions_behind=1,
        step_seconds=60,
        staleness_weight=0.1,
        idle_weight=3,
    )
    assert (authority, trust) == (True, False)


def test_copies_come_from_hedge_alone() -> None:
    """A home answers each permit once, by what `place` returns.

    A sample of an older step runs far too long while a newer step fills the
    slots. Its copy takes the next slot that ends, but `place` doesn't return
    it: the entry that holds the first permit would be answered twice.
    """
    pool = _pool(slots=2)
    for step, count in ((0, 1), (1, 6)):
        for number in range(count):
            work = _work(
                f'{step}-{number}', run=RunId('r'), kind=Kind.ROLLOUT, step=step
            )
            pool.offer(work, 0)
    placed = pool.place(0)
    first = placed[0]
    pool.record_slow_stream(first.work.id, first.sampler, 10, 1)
    assert not pool.speculate(1)
    for other in placed[1:]:
        pool.finish(other.work.id, other.sampler, 8, tokens=256)
    assert all(not item.duplicate for item in pool.place(8))
    copies = pool.speculate(8)
    assert [(copy.work.id, copy.duplicate) for copy in copies] == [
        ('0-0', True)
    ]
    losers = pool.finish(first.work.id, copies[0].sampler, 9, tokens=256)
    assert losers == [first.sampler]
