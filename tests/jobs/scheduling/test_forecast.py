"""Which groups are deferred while several steps are open."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import JobWork
from guavagate.jobs.scheduling._forecast import GroupPlan, forecast
from guavagate.jobs.scheduling._lengths import MIN_TEXTS, LengthEstimator
from guavagate.measure.fakes import MemoryStore
from tests.jobs.fleet import make_job
from tests.jobs.samplers import MODEL

EVENT_SECONDS = 0.04
NOW = 100.0


def make_work(
    name: str,
    age: float = 0,
    tokens: int = 1000,
    groups: int = 2,
    size: int = 2,
) -> JobWork:
    """Return a job whose items all have the same estimate."""
    job = make_job(name, groups=groups, size=size)
    items = [
        msgspec.structs.replace(each, expected_tokens=tokens)
        for each in job.items
    ]
    clock = PausedClock()
    log = ResultLog(MemoryStore(clock), clock, job.id, 'test')
    return JobWork(msgspec.structs.replace(job, items=items), log, NOW, age)


def make_lengths(events: int = 25, tokens: int = 1000) -> LengthEstimator:
    """Return an estimator that has recorded texts of one length."""
    lengths = LengthEstimator()
    work = make_work('seen', tokens=tokens, groups=MIN_TEXTS, size=1)
    for progress in work.items.values():
        progress.text.last_number = events
        lengths.record(MODEL, progress)
    return lengths


def _plan(works: list[JobWork], slots: float) -> list[GroupPlan]:
    lengths = make_lengths()
    planned = forecast(works, {MODEL: slots}, EVENT_SECONDS, lengths, NOW)
    return planned.groups


def test_no_group_is_deferred_with_enough_capacity() -> None:
    """Two steps are open, and ten slots complete both in a second."""
    planned = _plan([make_work('a'), make_work('b')], 10)
    assert len(planned) == 4
    assert not any(each.deferred for each in planned)


def test_late_groups_are_deferred_before_timely_ones() -> None:
    """One step is past its objective while another has just arrived."""
    planned = _plan([make_work('old', age=8), make_work('new')], 0.5)
    deferred = {each.work.job.id for each in planned if each.deferred}
    assert deferred == {'old'}


def test_the_most_expensive_group_is_deferred() -> None:
    """Of three steps one takes four times as long, and only two fit."""
    works = [
        make_work('a', tokens=2000, groups=1),
        make_work('large', tokens=2000, groups=1, size=8),
        make_work('b', tokens=2000, groups=1),
    ]
    lengths = make_lengths(events=50, tokens=2000)
    planned = forecast(works, {MODEL: 2}, EVENT_SECONDS, lengths, NOW)
    deferred = {each.work.job.id for each in planned.groups if each.deferred}
    assert deferred == {'large'}


def test_a_late_group_is_not_deferred_with_enough_capacity() -> None:
    """A trainer waits for a late group, and the others still fit."""
    planned = _plan([make_work('old', age=8), make_work('new')], 50)
    assert not any(each.deferred for each in planned)


def test_no_group_is_deferred_while_lengths_are_unknown() -> None:
    """These are the first steps after a start; no text has completed."""
    works = [make_work('old', age=8), make_work('new')]
    planned = forecast(
        works, {MODEL: 0.1}, EVENT_SECONDS, LengthEstimator(), NOW
    )
    assert not any(each.deferred for each in planned.groups)


def test_spare_groups_do_not_defer_wanted_ones() -> None:
    """The trainer waits for two of three groups, and two fit."""
    work = make_work('a', groups=3)
    work.job = msgspec.structs.replace(work.job, target_groups=2)
    planned = _plan([work], 0.6)
    assert [each.wanted for each in planned] == [True, True, False]
    assert not any(each.deferred for each in planned)
