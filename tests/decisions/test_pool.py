"""Tests of one pool's queue, slots and attempts."""

from guavagate.decisions import (
    Pool,
    PoolSettings,
    Queued,
    RefusalReason,
    Refused,
    SamplerInfo,
    SamplerReport,
    Work,
)
from guavagate.models import (
    CallerId,
    RequestId,
    SamplerId,
    TeamId,
    WeightVersion,
)

_ONE = SamplerId('s0')
_TWO = SamplerId('s1')


def _pool(slots: int = 1) -> Pool:
    samplers = [SamplerInfo(id=name, slots=slots) for name in (_ONE, _TWO)]
    return Pool(PoolSettings(), samplers, 0)


def _work(name: str, **fields: object) -> Work:
    return Work(
        id=RequestId(name),
        team=TeamId('trust'),
        caller=CallerId('desk'),
        **fields,  # type: ignore[arg-type]
    )


def test_work_waits_for_a_slot_and_starts_when_one_is_free() -> None:
    """No sampler gets more than its slots; the next starts after an end."""
    pool = _pool()
    for name in ('a', 'b', 'c'):
        assert isinstance(pool.offer(_work(name), 0), Queued)
    first, second = pool.place(0)
    assert {first.sampler, second.sampler} == {_ONE, _TWO}
    assert not pool.place(0.1)
    pool.finish(first.work.id, first.sampler, 1, tokens=50)
    third = pool.place(1)[0]
    assert (third.work.id, third.sampler) == ('c', first.sampler)


def test_work_that_can_not_be_in_time_is_refused_at_once() -> None:
    """The refusal names the reason, and the queue's expected wait."""
    pool = _pool()
    refused = pool.offer(_work('late', deadline=0.5), 0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.TOO_LATE
    assert not pool.place(0)


def test_queued_work_whose_time_has_passed_is_not_held_back() -> None:
    """It is refused when its last moment to start passes, before it runs."""
    pool = _pool()
    for name in ('a', 'b', 'c'):
        pool.offer(_work(name, deadline=20), 0)
    assert len(pool.place(0)) == 2
    assert not pool.expire(10)
    assert [late.work_id for late in pool.expire(16)] == ['c']
    assert (pool.queued, pool.running) == (0, 2)


def test_work_that_may_have_started_is_not_repeated() -> None:
    """Non-idempotent work is refused after a failure that is not certain."""
    pool = _pool()
    pool.offer(_work('booking', idempotent=False), 0)
    placement = pool.place(0)[0]
    outcome = pool.fail(placement.work.id, placement.sampler, 1, started=True)
    assert isinstance(outcome, Refused)
    assert outcome.reason is RefusalReason.NOT_REPEATABLE


def test_a_retry_goes_to_another_sampler() -> None:
    """The sampler that failed is excluded from the next attempt."""
    pool = _pool()
    pool.offer(_work('a'), 0)
    first = pool.place(0)[0]
    assert isinstance(
        pool.fail(RequestId('a'), first.sampler, 1, started=False), Queued
    )
    second = pool.place(1)[0]
    assert second.sampler != first.sampler


def test_work_for_a_version_waits_without_blocking_others() -> None:
    """A request that no sampler may serve yet keeps nobody else waiting."""
    pool = _pool()
    pool.offer(_work('new', min_version=WeightVersion(7)), 0)
    pool.offer(_work('any'), 0)
    assert [placed.work.id for placed in pool.place(0)] == ['any']
    pool.record_report(_TWO, SamplerReport(at=1, version=WeightVersion(7)), 1)
    placement = pool.place(1)[0]
    assert (placement.work.id, placement.sampler) == ('new', _TWO)


def test_a_new_home_counts_what_already_runs() -> None:
    """Adopted and reported work fills slots, so a takeover overfills none."""
    pool = _pool(slots=2)
    pool.adopt(_work('kept'), _ONE, 0)
    pool.record_report(_ONE, SamplerReport(at=0, running=2), 0)
    for name in ('a', 'b', 'c'):
        pool.offer(_work(name), 0)
    assert [placed.sampler for placed in pool.place(0)] == [_TWO, _TWO]


def test_a_leaving_sampler_gets_no_new_work() -> None:
    """Its running work is left alone."""
    pool = _pool()
    pool.offer(_work('a'), 0)
    running = pool.place(0)[0].sampler
    infos = [
        SamplerInfo(id=name, slots=1, leaving=name == running)
        for name in (_ONE, _TWO)
    ]
    pool.set_samplers(infos, 1)
    pool.offer(_work('b'), 1)
    assert pool.place(1)[0].sampler != running
    assert pool.running == 2


def test_cancelled_work_leaves_queue_and_slots() -> None:
    """Cancel names where it runs and forgets it."""
    pool = _pool()
    for name in ('a', 'b', 'c'):
        pool.offer(_work(name), 0)
    placed = pool.place(0)[0]
    assert pool.cancel(placed.work.id, 1) == [placed.sampler]
    assert not pool.cancel(RequestId('c'), 1)
    assert (pool.queued, pool.running) == (0, 1)
