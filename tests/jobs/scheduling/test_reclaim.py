"""Texts on samplers that the platform reclaims at seconds of notice."""

import time

import msgspec
import pytest

from guavagate.clock import PausedClock
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._reclaim import (
    AVOID_SECONDS,
    STAGE_SECONDS,
    TEXTS_PER_STAGE,
    LeavingSampler,
    Reclaims,
    ReclaimState,
    choose_texts_to_move,
    find_risky,
    list_long_texts,
)
from guavagate.jobs.scheduling._schedule import SamplerSlots
from guavagate.metrics import Metrics
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import SamplerStates
from guavagate.routing import UpstreamTable
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job
from tests.jobs.samplers import SERVICE, make_upstream
from tests.jobs.scheduling.test_schedule import _make_sampler, _make_work, place

NOW = 100.0
NOTICE = 2.5


class _Run:
    def cancel(self) -> None:
        """Do nothing."""


def _start(work: JobWork, sampler: str) -> None:
    for progress in work.items.values():
        progress.sampler = UpstreamId(sampler)
        progress.run = _Run()  # type: ignore[assignment]


def _choose(
    works: list[JobWork],
    samplers: list[SamplerSlots],
    remaining: dict[str, float],
    state: ReclaimState | None = None,
    now: float = NOW,
    interval: float = 1,
) -> list[str]:
    leaving = {UpstreamId('gone'): LeavingSampler(NOW + NOTICE, interval)}
    chosen = choose_texts_to_move(
        works,
        leaving,
        samplers,
        lambda _, progress: remaining.get(progress.item.id, 0),
        state or ReclaimState(),
        now,
    )
    return [each.item.id for each in chosen]


def test_short_texts_end_where_they_are() -> None:
    """A move costs a connection, and they have time to end."""
    work = _make_work(groups=2, size=2)
    _start(work, 'gone')
    remaining = {'0-0': 1.0, '0-1': 2.0, '1-0': 2.4, '1-1': 6.0}
    samplers = [_make_sampler(name, free=4) for name in 'xy']
    assert _choose([work], samplers, remaining) == ['1-1', '1-0']


def test_a_text_on_a_slow_sampler_needs_longer() -> None:
    """The sampler that leaves is twice as slow as the others."""
    work = _make_work(groups=1, size=1)
    _start(work, 'gone')
    samplers = [_make_sampler('x', free=4)]
    assert not _choose([work], samplers, {'0-0': 1.5})
    assert _choose([work], samplers, {'0-0': 1.5}, interval=2) == ['0-0']


def test_texts_that_the_trainer_waits_for_move_first() -> None:
    """Two slots are free; the longest text is of a group beyond the target."""
    work = _make_work(groups=2, size=2, target_groups=1)
    _start(work, 'gone')
    remaining = {'0-0': 3.0, '0-1': 5.0, '1-0': 9.0, '1-1': 4.0}
    moved = _choose([work], [_make_sampler('x', free=2)], remaining)
    assert moved == ['0-1', '0-0']


def test_texts_move_in_stages() -> None:
    """A zone's sixteen texts would all be read by one sampler at once.

    Reading them again stalls the texts that it runs already.
    """
    work = _make_work(groups=8, size=2)
    _start(work, 'gone')
    remaining: dict[str, float] = {**dict.fromkeys(work.items, 9.0)}
    state = ReclaimState()
    stages = []
    for tick in range(24):
        samplers = [_make_sampler('x', free=16)]
        now = NOW + tick * 0.1
        chosen = _choose([work], samplers, remaining, state, now)
        stages.append(len(chosen))
        for item in chosen:
            work.items[item].run = None  # type: ignore[index]
    assert max(stages) == TEXTS_PER_STAGE
    assert sum(stages) >= 0.7 * TEXTS_PER_STAGE * 2.4 / STAGE_SECONDS


def test_without_a_free_slot_a_text_stays() -> None:
    """Waiting for a slot, it would lose the events of the time left."""
    work = _make_work(groups=1, size=1)
    _start(work, 'gone')
    full = [_make_sampler('x', free=0)]
    old = [_make_sampler('y', free=4, version=0)]
    assert not _choose([work], full + old, {'0-0': 9.0})


def test_a_text_of_unknown_length_moves() -> None:
    """No text has completed yet; most would not end in time."""
    work = _make_work(groups=1, size=1)
    _start(work, 'gone')
    assert _choose([work], [_make_sampler('x', free=2)], {}) == ['0-0']


def test_long_texts_avoid_spot_samplers_of_a_reclaimed_zone() -> None:
    """Half of the zone was reclaimed; the rest may go at any moment.

    Its samplers are the fastest ones, so the longest texts would start there.
    """
    work = _make_work(groups=1, size=3)
    risky = _make_sampler('spot', free=4, interval=0.7)
    risky.avoided_by = {work.items[item].item.id for item in work.items}
    samplers = [risky, _make_sampler('safe', free=2)]
    placed = place([work], samplers, NOW)
    assert sorted(each.sampler for each in placed) == ['safe', 'safe', 'spot']


def test_a_zone_is_risky_for_a_while() -> None:
    """Only spot samplers are, and only of the zone that lost some."""

    def make(name: str, zone: str, **fields: object) -> Upstream:
        return msgspec.structs.replace(
            make_upstream(name), zone=ZoneId(zone), **fields
        )

    upstreams = [
        make('a', 'p', spot=True),
        make('b', 'p'),
        make('c', 'q', spot=True),
    ]
    leaving = make('d', 'p', spot=True, leaving=True, leaves_in=NOTICE)
    state = ReclaimState()
    assert not find_risky(upstreams, state, NOW)
    assert find_risky([*upstreams, leaving], state, NOW) == {'a', 'd'}
    later = NOW + AVOID_SECONDS
    assert find_risky(upstreams, state, later - 1) == {'a'}
    assert not find_risky(upstreams, state, later)


def test_a_reclaim_of_many_texts_is_decided_within_milliseconds() -> None:
    """32 samplers of a zone leave with 256 texts of three steps."""
    works = [_make_work(f'job-{number}', groups=11, size=8) for number in 'abc']
    for work in works:
        _start(work, 'gone')
    samplers = [_make_sampler(f's{number}', free=4) for number in range(64)]
    started_at = time.process_time()
    moved = _choose(works, samplers, {})
    assert time.process_time() - started_at < 0.05
    assert len(moved) == 64 * TEXTS_PER_STAGE


def test_the_time_left_counts_from_the_first_registration() -> None:
    """The registration is read again a second later, as a watch was lost."""
    clock = PausedClock()
    table = UpstreamTable(clock, ZoneId('z'))
    leaving = msgspec.structs.replace(
        make_upstream('x'), leaving=True, leaves_in=NOTICE
    )
    table.put(leaving)
    until = clock.now() + NOTICE
    clock.advance(1)
    table.put(leaving)
    assert table.registered()[0].leaves_at == until
    table.put(make_upstream('x'))
    assert table.registered()[0].leaves_at is None


def test_texts_are_estimated_a_few_times_a_second() -> None:
    """Each text that ends wakes the owner, a hundred times a second.

    Estimating hundreds of texts each time would take a tenth of a core for
    twenty seconds after each reclaim. A step that arrives is estimated at once,
    as all its items start then.
    """
    clock = PausedClock()
    table = UpstreamTable(clock, ZoneId('z'))
    spot = msgspec.structs.replace(make_upstream('s'), spot=True)
    leaving = msgspec.structs.replace(
        make_upstream('gone'), spot=True, leaving=True, leaves_in=NOTICE
    )
    table.put(spot)
    table.put(leaving)
    estimated: list[str] = []

    def estimate(_: JobWork, progress: ItemProgress) -> float:
        estimated.append(progress.item.id)
        return 9

    reclaims = Reclaims(SERVICE, table, SamplerStates(), Metrics(), estimate)
    work = _make_work(groups=4, size=2)
    _start(work, 'gone')
    full = [_make_sampler('s', free=0)]
    for _ in range(100):
        now = clock.now()
        reclaims.mark_risky([work], full, now)
        reclaims.move_texts([work], full, now)
        clock.advance(0.01)
    assert len(estimated) <= 8 * (2 + 4)
    estimated.clear()
    step = _make_work('job-2', groups=4, size=2)
    reclaims.mark_risky([work, step], full, clock.now())
    assert full[0].avoided_by >= set(step.items)


@pytest.fixture
def fleet() -> JobFleet:
    """Return instances whose samplers generate texts of three seconds."""
    fleet = JobFleet(length=60)
    for node in fleet.nodes.values():
        node.samplers.length = 60
    return fleet


def _announce(node: Node, name: str) -> None:
    """Announce that a sampler leaves, and let it go."""
    node.upstreams.put(
        msgspec.structs.replace(
            make_upstream(name), leaving=True, spot=True, leaves_in=NOTICE
        )
    )
    clock, samplers = node.clock, node.samplers

    def leave() -> None:
        clock.sleep(NOTICE)
        samplers.down.add(name)
        node.upstreams.remove(UpstreamId(name))

    clock.spawn(leave)


def test_texts_are_complete_though_their_sampler_was_reclaimed(
    fleet: JobFleet,
) -> None:
    """They leave it before it goes, resume where they were, and end once."""
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=3, size=2), 'a')
    fleet.clock.advance(0.3)
    at_x = [item for item, name, _ in node.samplers.started if name == 'x']
    assert at_x
    _announce(node, 'x')
    fleet.clock.advance(1)
    assert node.states.get(UpstreamId('x')).in_flight == 0
    resumed = {
        item: after
        for item, name, after in node.samplers.started
        if item in at_x and name != 'x'
    }
    assert resumed.keys() == set(at_x)
    assert min(resumed.values()) > 0
    fleet.clock.advance(5)
    check_complete(fleet, 'a', 6)


def test_texts_resume_if_the_owner_is_lost_during_a_reclaim(
    fleet: JobFleet,
) -> None:
    """Its successor knows the deadline from its own registrations.

    The former owner had moved some texts and not others.
    """
    owner = fleet.owner()
    fleet.submit(make_job(groups=6, size=2), 'a')
    fleet.clock.advance(0.6)
    for node in fleet.nodes.values():
        _announce(node, 'x')
    fleet.clock.advance(0.2)
    fleet.world.kill(owner)
    fleet.clock.advance(16)
    at = next(name for name in fleet.nodes if name != owner)
    check_complete(fleet, at, 12)


def test_texts_are_long_by_their_remaining_time() -> None:
    """Before lengths are known, all samplers take all texts."""
    work = _make_work(groups=1, size=2)
    assert not list_long_texts([work], lambda *_: 0)
    seconds = {'0-0': 2.5, '0-1': 1.5}
    long_texts = list_long_texts([work], lambda _, each: seconds[each.item.id])
    assert long_texts == {'0-0'}
