"""Samplers outside the regions of a job, and rewards of bound jobs."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.forwarding._rewards import BackgroundUpstreams
from guavagate.jobs.scheduling._reclaim import (
    LeavingSampler,
    ReclaimState,
    choose_texts_to_move,
)
from guavagate.jobs.scheduling._schedule import SamplerSlots, find_sampler
from guavagate.models import Regions, ServiceId, UpstreamId, ZoneId
from guavagate.routing import Eligibility, UpstreamTable
from tests.jobs.fleet import make_job
from tests.jobs.scheduling.test_schedule import _make_sampler, _make_work
from tests.residency.bench import (
    NORTH,
    SOUTH,
    TEAM,
    RegionFleet,
    make_job_route,
    make_regions,
)
from tests.routing.test_routes import make_upstream


def _make_samplers() -> list[SamplerSlots]:
    """Return an empty sampler outside, a full one inside and an unknown one."""
    outside, inside, unknown = (
        _make_sampler(name, free=free)
        for name, free in (('n', 4), ('s', 0), ('x', 4))
    )
    outside.region, inside.region = NORTH, SOUTH
    return [outside, inside, unknown]


def test_an_item_waits_for_a_sampler_inside() -> None:
    """The target of its move is outside since the regions have changed."""
    work = _make_work(groups=1, size=1)
    work.regions = make_regions(SOUTH)
    progress = work.items[next(iter(work.items))]
    progress.move_target = UpstreamId('n')
    samplers = _make_samplers()
    assert find_sampler(work, progress, samplers) is None
    samplers[1].free = 1
    assert find_sampler(work, progress, samplers) is samplers[1]


def test_a_text_stays_until_a_sampler_inside_can_take_it() -> None:
    """Its sampler is reclaimed; cancelled for one outside, it would wait."""
    work = _make_work(groups=1, size=1)
    work.regions = make_regions(SOUTH)
    for progress in work.items.values():
        progress.sampler = UpstreamId('gone')
        progress.run = object()  # type: ignore[assignment]
    leaving = {UpstreamId('gone'): LeavingSampler(103)}

    def choose(samplers: list[SamplerSlots]) -> int:
        return len(
            choose_texts_to_move(
                [work], leaving, samplers, lambda *_: 9, ReclaimState(), 100
            )
        )

    samplers = _make_samplers()
    assert choose(samplers) == 0
    samplers[1].free = 1
    assert choose(samplers) == 1


def test_rewards_are_bound_like_their_job() -> None:
    """Their bodies are parts of the job's body."""
    fleet = RegionFleet(length=5)
    fleet.configure(make_job_route(SOUTH))
    job = make_job(rated=True)
    job = msgspec.structs.replace(job, path='/x/', team=TEAM)
    fleet.submit(job, 'a')
    fleet.clock.advance(5)
    sent = [
        each for node in fleet.nodes.values() for each in node.rewards.regions
    ]
    assert sent == [make_regions(SOUTH)] * 6


def test_a_reward_waits_while_no_upstream_is_inside() -> None:
    """Its own route is bound as well; a request would be refused each time."""
    fleet = RegionFleet(length=5)
    fleet.configure(make_job_route())
    rewards = [node.rewards for node in fleet.nodes.values()]
    for each in rewards:
        each.route_regions = make_regions(NORTH)
        each.capacity = 0
    job = make_job(rated=True)
    fleet.submit(msgspec.structs.replace(job, path='/x/', team=TEAM), 'a')
    fleet.clock.advance(3)
    asked = frozenset[Regions]().union(*(each.asked for each in rewards))
    assert asked == {make_regions(NORTH)}
    assert not any(each.sent for each in rewards)


def test_only_capacity_inside_counts() -> None:
    """Free upstreams outside would have rewards sent that none can take."""
    clock = PausedClock()
    eligibility = Eligibility({ZoneId('n'): NORTH, ZoneId('s'): SOUTH})
    table = UpstreamTable(clock, ZoneId('n'), eligibility=eligibility)
    for zone in 'nns':
        table.put(make_upstream(zone, zone))
    service = ServiceId('s')
    background = BackgroundUpstreams(clock, table)
    table.load(UpstreamId('s')).ejected_until = clock.now() + 9
    bound = background.count_available(service, make_regions(SOUTH))
    assert bound == background.count_available(service)
    chosen = background.choose(service, set(), regions=make_regions(SOUTH))
    assert chosen is not None
    assert chosen.id == 's'
