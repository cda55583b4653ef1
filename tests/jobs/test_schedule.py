"""Which items start where, under loads of several steps."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.jobs._forecast import forecast
from guavagate.jobs._lengths import LengthEstimator
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._schedule import (
    Placement,
    SamplerSlots,
    count_demands,
)
from guavagate.jobs._schedule import find_moves as find_moves_known
from guavagate.jobs._schedule import place as place_planned
from guavagate.jobs._slots import sum_slots_by_model
from guavagate.jobs._work import ItemProgress, JobWork
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
    name: str, free: int = 2, version: int = 1, pace: float = 1
) -> SamplerSlots:
    return SamplerSlots(
        id=UpstreamId(name),
        versions={MODEL: WeightVersion(version)},
        free=free,
        slots=4,
        relative_interval=pace,
        models=frozenset((MODEL,)),
    )


def place(
    works: list[JobWork], samplers: list[SamplerSlots], now: float
) -> list[Placement]:
    """Place what the forecast plans, while no text has ended yet."""
    lengths = LengthEstimator()
    planned = forecast(works, sum_slots_by_model(samplers), 0, lengths, now)
    return place_planned(planned.groups, samplers, lengths)


def find_moves(
    works: list[JobWork],
    samplers: list[SamplerSlots],
    now: float,
    left: float = 0,
) -> list[ItemProgress]:
    """Find what to move; `left` is what each item still takes, if known."""
    return find_moves_known(works, samplers, now, lambda *_: left)


def test_no_more_than_the_free_slots_start() -> None:
    """What has no slot waits here, where it can still be reordered."""
    placed = place([_make_work(groups=10)], [_make_sampler('x')], 100)
    assert len(placed) == 2


def test_the_job_that_is_due_first_starts_first() -> None:
    """Two trainers' steps are open; the older one is due sooner."""
    works = [_make_work('young'), _make_work('old', age=3)]
    placed = place(works, [_make_sampler('x')], 100)
    assert {each.job for each in placed} == {'old'}


def test_groups_keep_the_trainers_order() -> None:
    """Groups carried over stand first and start first."""
    placed = place([_make_work()], [_make_sampler('x', free=4)], 100)
    assert [each.item for each in placed] == ['0-0', '0-1', '1-0', '1-1']


def test_a_stale_sampler_gets_nothing() -> None:
    """Its version is below what the step accepts."""
    work = _make_work(min_version=WeightVersion(2))
    samplers = [_make_sampler('x'), _make_sampler('y', version=2)]
    placed = place([work], samplers, 100)
    assert {each.sampler for each in placed} == {'y'}


def test_a_group_stays_together_where_there_is_room() -> None:
    """Its items share their prompt, which is then read once."""
    samplers = [_make_sampler(name, free=4) for name in 'xyz']
    placed = place([_make_work(groups=1)], samplers, 100)
    assert len({each.sampler for each in placed}) == 1


def test_a_slow_sampler_is_taken_last() -> None:
    """One of two samplers takes three times as long for an event."""
    samplers = [_make_sampler('slow', pace=3), _make_sampler('x')]
    placed = place([_make_work(groups=1)], samplers, 100)
    assert {each.sampler for each in placed} == {'x'}


def test_moves_only_when_nothing_waits() -> None:
    """A free slot goes to an item that has none before one that is slow."""
    work = _make_work(groups=1)
    first, second = work.items.values()
    samplers = [_make_sampler('slow', pace=3), _make_sampler('x')]
    first.sampler = UpstreamId('slow')
    first.run = object()  # type: ignore[assignment]
    first.started_at = 90
    assert not find_moves([work], samplers, 100)
    second.done = True
    assert find_moves([work], samplers, 100) == [first]


def test_a_long_text_leaves_a_slow_sampler_at_once() -> None:
    """A sampler is a third slower than others that have a free slot.

    Of six seconds that a text still takes, it loses two there, and its step is
    late. A text that is nearly done loses nothing worth a connection.
    """
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 99.5
    samplers = [_make_sampler('slow', pace=1.35), _make_sampler('x')]
    assert not find_moves([work], samplers, 100, left=1)
    assert find_moves([work], samplers, 100, left=6) == [progress]


def test_an_item_that_has_just_moved_stays_for_a_while() -> None:
    """The paces of three samplers differ by a moment's noise.

    The longest text of a step hops twice within 0.3 s, and has no move left
    when the third one turns out to be the slow one.
    """
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 99.8
    progress.moves = 1
    samplers = [_make_sampler('slow', pace=1.35), _make_sampler('x')]
    assert not find_moves([work], samplers, 100, left=6)
    assert find_moves([work], samplers, 101.5, left=6) == [progress]


def test_another_models_items_hold_up_no_move() -> None:
    """One trainer's items wait for its own samplers; another's text crawls."""
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 90
    other = _make_work('job-2', model='other')
    samplers = [_make_sampler('slow', pace=3), _make_sampler('x')]
    assert find_moves([work, other], samplers, 100) == [progress]


def test_an_item_moves_a_few_times_at_most() -> None:
    """Two samplers that slow by turns do not pass an item to and fro."""
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 90
    samplers = [_make_sampler('slow', pace=3), _make_sampler('x')]
    assert find_moves([work], samplers, 100)
    progress.moves = 3
    assert not find_moves([work], samplers, 100)


def test_demands_tell_the_strictest_version_and_what_waits() -> None:
    """Two open steps of one model accept different versions."""
    works = [
        _make_work('one', groups=1),
        _make_work('two', groups=1, min_version=WeightVersion(3)),
    ]
    demand = count_demands(works, 100)[MODEL]
    assert (demand.required, demand.waiting) == (3, 4)


def test_the_longest_items_start_first_on_the_fastest_sampler() -> None:
    """Two groups of one step; the second holds the longest item.

    It takes all the time that the step has. In the groups' order it would
    start after a whole wave of short ones, on whichever sampler is left.
    """
    work = _make_work()
    items = list(work.items.values())
    for number, progress in enumerate(items):
        tokens = 900 if number == 3 else 20
        item = msgspec.structs.replace(progress.item, expected_tokens=tokens)
        progress.item = item
    samplers = [_make_sampler('slow', pace=1.3), _make_sampler('x', free=1)]
    placed = place([work], samplers, 100)
    assert [each.item for each in placed] == ['1-1', '0-0', '0-1']
    assert placed[0].sampler == 'x'


def test_groups_that_are_not_needed_come_last() -> None:
    """The trainer waits for one group of two; the other's items are longer."""
    work = _make_work(target_groups=1)
    for progress in list(work.items.values())[2:]:
        item = msgspec.structs.replace(progress.item, expected_tokens=900)
        progress.item = item
    placed = place([work], [_make_sampler('x', free=4)], 100)
    assert [each.item for each in placed] == ['0-0', '0-1', '1-0', '1-1']


def test_an_item_that_crawls_moves_once_more() -> None:
    """It was moved twice, and then its sampler turned three times slower."""
    work = _make_work(groups=1, size=1)
    progress = next(iter(work.items.values()))
    progress.sampler = UpstreamId('slow')
    progress.run = object()  # type: ignore[assignment]
    progress.started_at = 90
    progress.moves = 2
    samplers = [_make_sampler('slow', pace=1.5), _make_sampler('x')]
    assert not find_moves([work], samplers, 100)
    samplers = [_make_sampler('slow', pace=3), _make_sampler('x')]
    assert find_moves([work], samplers, 100) == [progress]
