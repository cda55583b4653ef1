"""Which groups go behind, of steps that are open at once."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.jobs._forecast import GroupPlan, forecast
from guavagate.jobs._lengths import MIN_TEXTS, LengthEstimator
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import JobWork
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
    """Return a job whose items all have one estimate."""
    job = make_job(name, groups=groups, size=size)
    items = [
        msgspec.structs.replace(each, expected_tokens=tokens)
        for each in job.items
    ]
    clock = PausedClock()
    log = ResultLog(MemoryStore(clock), clock, job.id, 'test')
    return JobWork(msgspec.structs.replace(job, items=items), log, NOW, age)


def make_lengths(events: int = 25, tokens: int = 1000) -> LengthEstimator:
    """Return what is known after texts of one length."""
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


def test_with_room_for_all_nothing_goes_behind() -> None:
    """Two steps are open, and ten slots make both in a second."""
    planned = _plan([make_work('a'), make_work('b')], 10)
    assert len(planned) == 4
    assert not any(each.deferred for each in planned)


def test_what_is_late_in_any_case_goes_behind_what_is_not() -> None:
    """A step is past its objective while another one has just come."""
    planned = _plan([make_work('old', age=8), make_work('new')], 0.5)
    behind = {each.work.job.id for each in planned if each.deferred}
    assert behind == {'old'}


def test_the_costliest_group_goes_behind() -> None:
    """Three steps, of which one takes four times as long, and two fit."""
    works = [
        make_work('a', tokens=2000, groups=1),
        make_work('large', tokens=2000, groups=1, size=8),
        make_work('b', tokens=2000, groups=1),
    ]
    lengths = make_lengths(events=50, tokens=2000)
    planned = forecast(works, {MODEL: 2}, EVENT_SECONDS, lengths, NOW)
    behind = {each.work.job.id for each in planned.groups if each.deferred}
    assert behind == {'large'}


def test_a_late_group_keeps_its_turn_while_nothing_is_short() -> None:
    """A trainer waits for a late group; nobody else wants the slots."""
    planned = _plan([make_work('old', age=8), make_work('new')], 50)
    assert not any(each.deferred for each in planned)


def test_nothing_goes_behind_before_texts_have_ended() -> None:
    """The first steps after a start: how long texts are is not known."""
    works = [make_work('old', age=8), make_work('new')]
    planned = forecast(
        works, {MODEL: 0.1}, EVENT_SECONDS, LengthEstimator(), NOW
    )
    assert not any(each.deferred for each in planned.groups)


def test_groups_that_the_trainer_does_not_wait_for_count_for_nothing() -> None:
    """A spare group does not put a wanted one behind."""
    work = make_work('a', groups=3)
    work.job = msgspec.structs.replace(work.job, target_groups=2)
    planned = _plan([work], 0.6)
    assert [each.wanted for each in planned] == [True, True, False]
    assert not any(each.deferred for each in planned)
