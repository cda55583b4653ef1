"""Which items start on which samplers while several steps are open."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._forecast import forecast
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._moves import RemainingTime
from guavagate.jobs.scheduling._moves import find_moves as find_job_moves
from guavagate.jobs.scheduling._schedule import (
    ItemPlacement,
    SamplerSlots,
    count_demands,
)
from guavagate.jobs.scheduling._schedule import place as place_plans
from guavagate.jobs.scheduling._slots import sum_slots_by_model
from guavagate.measure.fakes import MemoryStore
from guavagate.models import UpstreamId, WeightVersion
from tests.jobs.fleet import make_job
from tests.jobs.samplers import MODEL


def _make_work(
    name: str = 'job-1', age: float = 0, **fields: object
) -> JobWork:
    job = make_job(name, **fields)  # type: ignore[arg-type]
    clock = PausedClock()
    log = ResultLog(MemoryStore(clock), clock, job.id, 'test')
    return JobWork(job, log, 100.0, age)


def _make_sampler(
    name: str, free: int = 2, version: int = 1, interval: float = 1
) -> SamplerSlots:
    return SamplerSlots(
        id=UpstreamId(name),
        versions={MODEL: WeightVersion(version)},
        free=free,
        slots=4,
        relative_interval=interval,
        models=frozenset((MODEL,)),
    )


def place(
    works: list[JobWork], samplers: list[SamplerSlots], now: float
) -> list[ItemPlacement]:
    """Place the forecast's items while no text has completed yet."""
    lengths = LengthEstimator()
    planned = forecast(works, sum_slots_by_model(samplers), 0, lengths, now)
    return place_plans(planned.groups, samplers, lengths).started


def find_moves(
    works: list[JobWork],
    samplers: list[SamplerSlots],
    now: float,
    remaining: float = 0,
) -> list[ItemProgress]:
    """Find moves; `remaining` is each item's remaining seconds, if known."""
    time = RemainingTime(remaining, remaining)
    moves = find_job_moves(works, samplers, now, lambda *_: time)
    return [each.progress for each in moves]


def test_only_as_many_items_as_free_slots_start() -> None:
    """Items without a slot wait here, where they can be reordered."""
    placed = place([_make_work(groups=10)], [_make_sampler('x')], 100)
    assert len(placed) == 2


def test_the_job_due_first_starts_first() -> None:
    """Two trainers' steps are open; the older one is due first."""
    works = [_make_work('young'), _make_work('old', age=3)]
    placed = place(works, [_make_sampler('x')], 100)
    assert {each.job for each in placed} == {'old'}


def test_groups_start_in_the_trainers_order() -> None:
    """A trainer lists resubmitted groups first, so they start first."""
    placed = place([_make_work()], [_make_sampler('x', free=4)], 100)
    assert [each.item for each in placed] == ['0-0', '0-1', '1-0', '1-1']


def test_a_stale_sampler_gets_no_items() -> None:
    """Its version is lower than the step accepts."""
    work = _make_work(min_version=WeightVersion(2))
    samplers = [_make_sampler('x'), _make_sampler('y', version=2)]
    placed = place([work], samplers, 100)
    assert {each.sampler for each in placed} == {'y'}


def test_a_group_shares_a_sampler_with_enough_slots() -> None:
    """Its items share a prompt, which is then read only once."""
    samplers = [_make_sampler(name, free=4) for name in 'xyz']
    placed = place([_make_work(groups=1)], samplers, 100)
    assert len({each.sampler for each in placed}) == 1


def test_a_slow_sampler_is_used_last() -> None:
    """One of two samplers has three times the event interval."""
    samplers = [_make_sampler('slow', interval=3), _make_sampler('x')]
    placed = place([_make_work(groups=1)], samplers, 100)
    assert {each.sampler for each in placed} == {'x'}


def test_waiting_items_get_slots_before_moves() -> None:
    """A free slot goes to a waiting item before one on a slow sampler."""
    work = _make_work(groups=1)
    first, second = work.items.values()
    samplers = [_make_sampler('slow', interval=3), _make_sampler('x')]
    first.sampler = UpstreamId('slow')
    first.run = object()  # type: ignore[assignment]
    first.started_at = 90
    assert not find_moves([work], samplers, 100)
    second.done = True
    assert find_moves([work], samplers, 100) == [first]


def test_a_long_text_leaves_a_slow_sampler_at_once() -> None:
    """A sampler is a third slower than another one with a free slot.

    A text with six seconds left loses two there, and its step is late. A text
    that is almost done loses less than a move costs.
    """
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 99.5
    samplers = [_make_sampler('slow', interval=1.35), _make_sampler('x')]
    assert not find_moves([work], samplers, 100, remaining=1)
    assert find_moves([work], samplers, 100, remaining=6) == [progress]


def test_a_recently_moved_item_stays_for_a_while() -> None:
    """The measured intervals of three samplers differ by noise.

    Without the wait the longest text of a step moved twice within 0.3 s and had
    no move left when its third sampler turned out to be slow.
    """
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 99.8
    progress.moves = 1
    samplers = [_make_sampler('slow', interval=1.35), _make_sampler('x')]
    assert not find_moves([work], samplers, 100, remaining=6)
    assert find_moves([work], samplers, 101.5, remaining=6) == [progress]


def test_another_models_waiting_items_block_no_move() -> None:
    """Its items wait for other samplers while a text runs on a slow one."""
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 90
    other = _make_work('job-2', model='other')
    samplers = [_make_sampler('slow', interval=3), _make_sampler('x')]
    assert find_moves([work, other], samplers, 100) == [progress]


def test_an_item_moves_only_a_few_times() -> None:
    """Two samplers that are slow in turn must not pass an item around."""
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 90
    samplers = [_make_sampler('slow', interval=3), _make_sampler('x')]
    assert find_moves([work], samplers, 100)
    progress.moves = 3
    assert not find_moves([work], samplers, 100)


def test_demand_has_the_strictest_version_and_waiting_items() -> None:
    """Two open steps of one model accept different versions."""
    works = [
        _make_work('one', groups=1),
        _make_work('two', groups=1, min_version=WeightVersion(3)),
    ]
    demand = count_demands(works, 100)[MODEL]
    assert (demand.required, demand.waiting) == (3, 4)


def test_the_longest_items_start_first_on_the_fastest_sampler() -> None:
    """The second of two groups of a step has the longest item.

    It takes the whole time of the step. In the order of groups it would start
    after all short items, on whichever sampler is left.
    """
    work = _make_work()
    items = list(work.items.values())
    for number, progress in enumerate(items):
        tokens = 900 if number == 3 else 20
        item = msgspec.structs.replace(progress.item, expected_tokens=tokens)
        progress.item = item
    samplers = [_make_sampler('slow', interval=1.3), _make_sampler('x', free=1)]
    placed = place([work], samplers, 100)
    assert [each.item for each in placed] == ['1-1', '0-0', '0-1']
    assert placed[0].sampler == 'x'


def test_spare_groups_start_last() -> None:
    """The trainer waits for one of two groups; the spare one is longer."""
    work = _make_work(target_groups=1)
    for progress in list(work.items.values())[2:]:
        item = msgspec.structs.replace(progress.item, expected_tokens=900)
        progress.item = item
    placed = place([work], [_make_sampler('x', free=4)], 100)
    assert [each.item for each in placed] == ['0-0', '0-1', '1-0', '1-1']


def test_an_item_on_a_very_slow_sampler_moves_once_more() -> None:
    """It has moved twice when its sampler becomes three times slower."""
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 90
    progress.moves = 2
    samplers = [_make_sampler('slow', interval=1.5), _make_sampler('x')]
    assert not find_moves([work], samplers, 100)
    samplers = [_make_sampler('slow', interval=3), _make_sampler('x')]
    assert find_moves([work], samplers, 100) == [progress]
