"""Tests of single safeguards, with each switched on and off."""

import pytest

from guavagate.decisions import (
    ALL_SAFEGUARDS,
    Placement,
    Pool,
    PoolSettings,
    PoolView,
    Safeguard,
    SamplerInfo,
    Work,
    WorkKind,
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


def _make_pool(*off: Safeguard, samplers: int = 2, slots: int = 8) -> Pool:
    infos = [
        SamplerInfo(id=SamplerId(f's{index}'), slots=slots)
        for index in range(samplers)
    ]
    return Pool(PoolSettings(safeguards=ALL_SAFEGUARDS - set(off)), infos, 0)


def _make_work(name: str, caller: str = 'desk', **fields: object) -> Work:
    return Work(
        id=RequestId(name),
        team=TeamId('trust'),
        caller=CallerId(caller),
        **fields,  # type: ignore[arg-type]
    )


def _get_ids(placements: list[Placement]) -> list[str]:
    return [placement.work.id for placement in placements]


@pytest.mark.parametrize('on', [True, False])
def test_headroom_is_kept_from_a_caller_beyond_its_share(on: bool) -> None:
    """One of eight active callers requests every slot.

    The last eighth of the slots stays free for the others, whose next request
    starts at once.
    """
    pool = _make_pool() if on else _make_pool(Safeguard.HEADROOM)
    for caller in range(7):
        pool.offer(_make_work(f'known-{caller}', f'caller-{caller}'), 0)
    for placement in pool.place(0):
        pool.finish(placement.work.id, placement.sampler, 1, tokens=100)
    for number in range(40):
        pool.offer(_make_work(f'hot-{number}', 'hot'), 1)
    assert len(pool.place(1)) == (14 if on else 16)
    pool.offer(_make_work('light', 'caller-1'), 1)
    assert _get_ids(pool.place(1)) == (['light'] if on else [])


@pytest.mark.parametrize('on', [True, False])
def test_long_work_leaves_slots_to_short_work(on: bool) -> None:
    """Long samples arrive in a pause between short requests.

    Running work is never interrupted, so without reserved slots the next
    short request would wait for a long sample to end.
    """
    off = (
        (Safeguard.HEADROOM,) if on else (Safeguard.HEADROOM, Safeguard.RESERVE)
    )
    pool = _make_pool(*off)
    for number in range(60):
        pool.offer(_make_work(f'short-{number}'), number * 0.1)
        for placement in pool.place(number * 0.1):
            pool.finish(placement.work.id, placement.sampler, 6, tokens=256)
    for number in range(30):
        pool.offer(
            _make_work(
                f'sample-{number}', kind=WorkKind.ROLLOUT, run=RunId('r')
            ),
            6,
        )
    pool.place(6)
    pool.offer(_make_work('next'), 6.1)
    assert _get_ids(pool.place(6.1)) == (['next'] if on else [])


def test_short_work_overtakes_long_work_of_the_same_caller() -> None:
    """In order of arrival it would wait until the long job has started."""
    for off, first in (((), 'short'), ((Safeguard.ORDER,), 'long')):
        pool = _make_pool(*off, samplers=1, slots=1)
        pool.offer(_make_work('running'), 0)
        running = pool.place(0)[0]
        pool.offer(_make_work('long', expected_tokens=4_000), 0)
        pool.offer(_make_work('short', expected_tokens=100), 1)
        pool.finish(running.work.id, running.sampler, 5, tokens=256)
        assert _get_ids(pool.place(5)) == [first]


def test_long_work_does_not_starve() -> None:
    """The target stretch limits how long short work overtakes it."""
    pool = _make_pool(samplers=1, slots=1)
    pool.offer(_make_work('long', expected_tokens=500), 0)
    pool.offer(_make_work('first', expected_tokens=10), 0)
    started: list[str] = []
    for second in range(100):
        pool.offer(_make_work(f'short-{second}', expected_tokens=50), second)
        for placement in pool.place(second):
            started.append(placement.work.id)
            pool.finish(
                placement.work.id, placement.sampler, second + 1, tokens=50
            )
    assert 'long' in started


def test_queued_work_is_expired_only_with_the_safeguard() -> None:
    """Without it, work waits until long after its caller has given up."""
    for off, expired in (((), ['b']), ((Safeguard.EXPIRY,), [])):
        pool = _make_pool(*off, samplers=1, slots=1)
        pool.offer(_make_work('a', deadline=20), 0)
        pool.offer(_make_work('b', deadline=20), 0)
        pool.place(0)
        assert [late.work_id for late in pool.expire(19)] == expired


def test_lost_eviction_event_costs_one_miss() -> None:
    """The engine has evicted prefixes, and the events were lost in a gap.

    One answer that finds its prefix missing shows that everything older is
    gone as well. Without healing the index keeps these entries.
    """
    for heal, left in ((True, 1), (False, 4)):
        index = PrefixIndex(heal=heal)
        for key in range(3):
            index.store((key,), key)
        index.store((9,), 10)
        assert index.apply(0, [('stored', 0)], 11) is False
        assert index.apply(40, [('stored', 9)], 12) is True
        index.record_eviction(index.get_last_use(2))
        assert len(index) == left


def test_restarted_engine_has_an_empty_cache() -> None:
    """Its event numbers start again at zero."""
    index = PrefixIndex()
    index.apply(0, [('stored', 1), ('stored', 2)], 0)
    assert index.apply(0, [('stored', 3)], 1) is True
    assert (index.match((1,)), index.match((3,))) == (0, 1)


def _simulate_answers(
    limit: ConcurrencyLimit, capacity: int, seconds: int
) -> None:
    """Answer once a second from a full engine; too many streams swap."""
    for now in range(seconds):
        streams = limit.value
        swapping = max(streams / capacity, 1) ** 2
        limit.learn(0.02 * swapping, streams, now, now)


@pytest.mark.parametrize(('configured', 'capacity'), [(16, 8), (4, 8)])
def test_the_limit_is_found_when_settings_are_wrong(
    configured: int, capacity: int
) -> None:
    """The engine fits half or twice as many streams as configured."""
    limit = ConcurrencyLimit(configured, learning=True)
    _simulate_answers(limit, capacity, 5_000)
    assert abs(limit.value - capacity) <= 1
    fixed = ConcurrencyLimit(configured, learning=False)
    _simulate_answers(fixed, capacity, 5_000)
    assert fixed.value == configured


def test_temporary_slowdown_does_not_change_the_limit() -> None:
    """Slower answers at the same number of streams are no evidence."""
    limit = ConcurrencyLimit(8, learning=True)
    for now in range(1_000):
        slow = 10 if 200 <= now < 400 else 1
        swapping = max(limit.value / 8, 1) ** 2
        limit.learn(0.02 * slow * swapping, limit.value, now, now)
    assert abs(limit.value - 8) <= 1


def test_idle_callers_use_no_memory() -> None:
    """The flows of 3,000 callers are removed once they have no work."""
    pool = _make_pool(samplers=1, slots=4)
    for number in range(3_000):
        pool.offer(_make_work(f'r{number}', f'caller-{number}'), number)
        for placement in pool.place(number):
            pool.finish(placement.work.id, placement.sampler, number, tokens=9)
    assert pool.count_flows() < 10


def test_pool_over_the_load_bound_is_skipped() -> None:
    """The next pool on the ring gets the work of a hot prefix."""
    work = _make_work('a', prefix_keys=(5,))
    pools = [PoolView(id=f'pool-{index}', slots=8) for index in range(4)]
    first, _ = choose_pool(work, pools, 0)
    first.load = 3
    second, decision = choose_pool(work, pools, 0)
    assert second is not first
    assert decision.choice == second.id


def test_work_without_a_prefix_stays_in_its_zone() -> None:
    """The pool in the same zone is chosen while it has room."""
    zones = ('jhb-east', 'jhb-west')
    pools = [PoolView(id=f'p-{zone}', zone=ZoneId(zone)) for zone in zones]
    for number in range(20):
        work = _make_work(f'r{number}', zone=ZoneId('jhb-west'))
        assert choose_pool(work, pools, 0)[0].zone == 'jhb-west'


def test_removed_pool_moves_only_its_own_prefixes() -> None:
    """Prefixes of the remaining pools stay where they are cached."""
    pools = [PoolView(id=f'pool-{index}') for index in range(10)]
    moved = 0
    for key in range(1_000):
        work = _make_work('a', prefix_keys=(key * 7_919_777_777_777_777,))
        before, _ = choose_pool(work, pools, 0)
        after, _ = choose_pool(work, pools[1:], 0)
        moved += before is not after
        assert before is after or before is pools[0]
    assert 0 < moved < 200


def test_weights_decide_when_to_swap() -> None:
    """One deployment weighs staleness more, the other trainer idle time."""
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


def test_speculative_runs_are_returned_by_speculate_only() -> None:
    """The queue owner answers one permit request per placement of `place`.

    A sample of an older step runs too long while a newer step fills the slots.
    Its speculative run gets the next free slot. If `place` returned it, the
    entry that has the first permit would be answered twice.
    """
    pool = _make_pool(slots=2)
    for step, count in ((0, 1), (1, 6)):
        for number in range(count):
            work = _make_work(
                f'{step}-{number}',
                run=RunId('r'),
                kind=WorkKind.ROLLOUT,
                step=step,
            )
            pool.offer(work, 0)
    placed = pool.place(0)
    first = placed[0]
    pool.record_slow_stream(first.work.id, first.sampler, 10, 1)
    assert not pool.speculate(1)
    for other in placed[1:]:
        pool.finish(other.work.id, other.sampler, 8, tokens=256)
    assert all(not item.duplicate for item in pool.place(8))
    runs = pool.speculate(8)
    assert [(run.work.id, run.duplicate) for run in runs] == [('0-0', True)]
    losers = pool.finish(first.work.id, runs[0].sampler, 9, tokens=256)
    assert losers == [first.sampler]
