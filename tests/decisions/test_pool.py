"""Tests of the queue, slots and attempts of a pool."""

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

_FIRST = SamplerId('s0')
_SECOND = SamplerId('s1')


def _make_pool(slots: int = 1) -> Pool:
    samplers = [SamplerInfo(id=name, slots=slots) for name in (_FIRST, _SECOND)]
    return Pool(PoolSettings(), samplers, 0)


def _make_work(name: str, **fields: object) -> Work:
    return Work(
        id=RequestId(name),
        team=TeamId('trust'),
        caller=CallerId('desk'),
        **fields,  # type: ignore[arg-type]
    )


def test_work_starts_when_a_slot_is_free() -> None:
    """No sampler gets more work than slots; a finished run frees one."""
    pool = _make_pool()
    for name in ('a', 'b', 'c'):
        assert isinstance(pool.offer(_make_work(name), 0), Queued)
    first, second = pool.place(0)
    assert {first.sampler, second.sampler} == {_FIRST, _SECOND}
    assert not pool.place(0.1)
    pool.finish(first.work.id, first.sampler, 1, tokens=50)
    third = pool.place(1)[0]
    assert (third.work.id, third.sampler) == ('c', first.sampler)


def test_work_with_unreachable_deadline_is_refused_at_once() -> None:
    """The refusal gives the reason, and the work is not started."""
    pool = _make_pool()
    refused = pool.offer(_make_work('late', deadline=0.5), 0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.TOO_LATE
    assert not pool.place(0)


def test_queued_work_is_refused_when_it_can_not_be_in_time() -> None:
    """It is refused when its latest start passes, before it runs."""
    pool = _make_pool()
    for name in ('a', 'b', 'c'):
        pool.offer(_make_work(name, deadline=20), 0)
    assert len(pool.place(0)) == 2
    assert not pool.expire(10)
    assert [late.work_id for late in pool.expire(16)] == ['c']
    assert (pool.queued, pool.running) == (0, 2)


def test_non_idempotent_work_is_not_retried_after_a_start() -> None:
    """It is refused after a failure when it may have started."""
    pool = _make_pool()
    pool.offer(_make_work('booking', idempotent=False), 0)
    placement = pool.place(0)[0]
    outcome = pool.fail(placement.work.id, placement.sampler, 1, started=True)
    assert isinstance(outcome, Refused)
    assert outcome.reason is RefusalReason.NOT_REPEATABLE


def test_retry_goes_to_another_sampler() -> None:
    """The sampler that failed is excluded from the next attempt."""
    pool = _make_pool()
    pool.offer(_make_work('a'), 0)
    first = pool.place(0)[0]
    assert isinstance(
        pool.fail(RequestId('a'), first.sampler, 1, started=False), Queued
    )
    second = pool.place(1)[0]
    assert second.sampler != first.sampler


def test_work_for_a_version_waits_without_blocking_others() -> None:
    """Work that no sampler may run yet doesn't delay other work."""
    pool = _make_pool()
    pool.offer(_make_work('new', min_version=WeightVersion(7)), 0)
    pool.offer(_make_work('any'), 0)
    assert [placed.work.id for placed in pool.place(0)] == ['any']
    pool.record_report(
        _SECOND, SamplerReport(at=1, version=WeightVersion(7)), 1
    )
    placement = pool.place(1)[0]
    assert (placement.work.id, placement.sampler) == ('new', _SECOND)


def test_new_queue_owner_counts_running_work() -> None:
    """Adopted and reported work occupies slots after a takeover."""
    pool = _make_pool(slots=2)
    pool.adopt(_make_work('kept'), _FIRST, 0)
    pool.record_report(_FIRST, SamplerReport(at=0, running=2), 0)
    for name in ('a', 'b', 'c'):
        pool.offer(_make_work(name), 0)
    assert [placed.sampler for placed in pool.place(0)] == [_SECOND, _SECOND]


def test_leaving_sampler_gets_no_new_work() -> None:
    """Its running work goes on."""
    pool = _make_pool()
    pool.offer(_make_work('a'), 0)
    running = pool.place(0)[0].sampler
    infos = [
        SamplerInfo(id=name, slots=1, leaving=name == running)
        for name in (_FIRST, _SECOND)
    ]
    pool.set_samplers(infos, 1)
    pool.offer(_make_work('b'), 1)
    assert pool.place(1)[0].sampler != running
    assert pool.running == 2


def test_cancelled_work_leaves_queue_and_slots() -> None:
    """`cancel` returns the samplers that run the work and removes it."""
    pool = _make_pool()
    for name in ('a', 'b', 'c'):
        pool.offer(_make_work(name), 0)
    placed = pool.place(0)[0]
    assert pool.cancel(placed.work.id, 1) == [placed.sampler]
    assert not pool.cancel(RequestId('c'), 1)
    assert (pool.queued, pool.running) == (0, 1)
