"""Which texts leave slow samplers while other items wait for slots."""

from guavagate.clock import PausedClock
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._forecast import forecast
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._moves import (
    Move,
    RemainingTime,
    find_moves,
    find_urgent_moves,
)
from guavagate.jobs.scheduling._schedule import SamplerSlots, place
from guavagate.jobs.scheduling._slots import count_reserved_slots, list_slots
from guavagate.measure.fakes import MemoryStore
from guavagate.models import UpstreamId, WeightVersion
from guavagate.rollouts import SamplerStates
from tests.jobs.fleet import make_job
from tests.jobs.samplers import MODEL, make_upstream

NOW = 100.0
LONG = RemainingTime(4, 6)
SHORT = RemainingTime(0.5, 0.8)


def _make_work(size: int = 3, **fields: object) -> JobWork:
    """Return a step of one group; its first text runs on a slow sampler."""
    job = make_job(groups=1, size=size, **fields)  # type: ignore[arg-type]
    clock = PausedClock()
    log = ResultLog(MemoryStore(clock), clock, job.id, 'test')
    work = JobWork(job, log, NOW - 1, 0)
    first = _get_first(work)
    first.sampler = UpstreamId('slow')
    first.run = object()  # type: ignore[assignment]
    first.started_at = NOW - 1
    return work


def _get_first(work: JobWork) -> ItemProgress:
    return next(iter(work.items.values()))


def _make_sampler(
    name: str, free: int = 1, interval: float = 1, *, measured: bool = True
) -> SamplerSlots:
    return SamplerSlots(
        id=UpstreamId(name),
        versions={MODEL: WeightVersion(1)},
        free=free,
        slots=4,
        relative_interval=interval,
        measured=measured,
        models=frozenset((MODEL,)),
    )


def _find_urgent(
    work: JobWork, first: RemainingTime, others: RemainingTime = SHORT
) -> tuple[list[Move], SamplerSlots]:
    """Return the moves before waiting items, and the faster sampler."""
    fast = _make_sampler('fast')
    samplers = [_make_sampler('slow', free=0, interval=1.3), fast]
    running = _get_first(work)
    moves = find_urgent_moves(
        [work],
        samplers,
        NOW,
        lambda _, progress: first if progress is running else others,
    )
    return moves, fast


def test_short_waiting_items_do_not_block_a_text_that_would_be_late() -> None:
    """While a step starts, some of its short items always wait for slots.

    Its longest text runs on a slow sampler. If each free slot goes to a waiting
    item, the text stays until all have started, and the step is late.
    """
    moves, fast = _find_urgent(_make_work(), LONG)
    assert [each.target for each in moves] == ['fast']
    assert moves[0].urgent
    assert not fast.free


def test_longer_waiting_items_start_before_a_move() -> None:
    """Otherwise they start late, and the step is late because of them."""
    moves, fast = _find_urgent(_make_work(), LONG, RemainingTime(5, 7))
    assert not moves
    assert fast.free == 1


def test_a_text_that_is_in_time_waits_for_its_move() -> None:
    """Waiting items start first if the move makes no step earlier."""
    assert not _find_urgent(_make_work(), RemainingTime(3, 4))[0]


def test_a_text_of_a_spare_group_waits_for_its_move() -> None:
    """The trainer continues without that group."""
    assert not _find_urgent(_make_work(target_groups=0), LONG)[0]


def test_a_text_that_ends_long_before_its_step_is_due_stays() -> None:
    """A fast slot is free, and the text would gain half a second there.

    Its step waits for others for two more seconds, and a move costs a
    connection.
    """
    work = _make_work(size=1)
    samplers = [
        _make_sampler('slow', free=0, interval=1.3),
        _make_sampler('fast'),
    ]
    early = RemainingTime(1.9, 1.9)
    assert not find_moves([work], samplers, NOW, lambda *_: early)
    assert find_moves([work], samplers, NOW + 2.5, lambda *_: early)


def test_a_sampler_not_yet_measured_is_no_target_for_small_gains() -> None:
    """It may be as slow as the current one, and the move would cost time."""
    work = _make_work(size=1)
    slow = _make_sampler('slow', free=0, interval=1.3)
    unknown = _make_sampler('fast', measured=False)
    assert not find_moves([work], [slow, unknown], NOW, lambda *_: LONG)
    fast = _make_sampler('fast')
    assert find_moves([work], [slow, fast], NOW, lambda *_: LONG)


def test_the_slot_of_a_move_stays_reserved() -> None:
    """A text's run on the slow sampler takes a moment to end.

    Meanwhile a waiting item of an older step could take the faster slot, and
    the text would resume on another slow sampler.
    """
    work = _make_work(size=1)
    older = _make_work(name='older')
    states = SamplerStates()
    for name in ('slow', 'fast'):
        states.assigned[UpstreamId(name)] = frozenset((MODEL,))
        states.get(UpstreamId(name)).versions = {MODEL: WeightVersion(1)}
    states.get(UpstreamId('slow')).in_flight = 1
    serving = [make_upstream(name, slots=1) for name in ('slow', 'fast')]
    progress = _get_first(work)
    progress.move_target = UpstreamId('fast')

    def place_items() -> list[str]:
        works = [older, work]
        planned = forecast(works, {MODEL: 2}, 0, LengthEstimator(), NOW)
        reserved = count_reserved_slots(works)
        samplers = list_slots(serving, states, 4, NOW, reserved)
        placed = place(planned.groups, samplers, LengthEstimator()).started
        return [f'{each.job} {each.item} {each.sampler}' for each in placed]

    assert not place_items()
    states.get(UpstreamId('slow')).in_flight = 0
    progress.sampler = None
    progress.run = None
    assert place_items() == ['job-1 0-0 fast', 'older 0-1 slow']
