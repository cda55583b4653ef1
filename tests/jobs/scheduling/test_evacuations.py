"""Texts whose samplers' zone is evacuated."""

import msgspec

from guavagate.jobs.scheduling._moves import (
    RemainingTime,
    find_moves,
    find_urgent_moves,
)
from guavagate.jobs.scheduling._schedule import SamplerSlots
from guavagate.jobs.scheduling._sources import list_sources
from guavagate.models import UpstreamId, ZoneId
from guavagate.rollouts import SamplerStates
from guavagate.routing import EligibleSamplers, UpstreamTable
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job
from tests.jobs.samplers import SERVICE, make_upstream
from tests.jobs.scheduling.test_moves import (
    NOW,
    _get_first,
    _make_sampler,
    _make_work,
)
from tests.jobs.scheduling.test_stalls import _make_unresponsive

_ZONE = ZoneId('zone-1')
_NAME = UpstreamId('x')


def _make_fleet(length: int = 40) -> tuple[JobFleet, Node]:
    """Return instances and their owner; sampler x is in a zone of its own."""
    fleet = JobFleet(length=length)
    for node in fleet.nodes.values():
        node.samplers.length = length
        node.upstreams.put(
            msgspec.structs.replace(make_upstream('x'), zone=_ZONE)
        )
        client = EligibleSamplers(node.samplers, node.upstreams)
        node.owner._dispatcher._client = client
        node.owner._dispatcher._runner._client = client
    return fleet, fleet.nodes[fleet.owner()]


def _evacuate(fleet: JobFleet, *zones: ZoneId) -> None:
    for node in fleet.nodes.values():
        node.upstreams.set_evacuated(frozenset(zones))


def _list_started(node: Node, since: int) -> set[str]:
    return {name for _, name, _ in node.samplers.started[since:]}


def test_running_texts_end_and_no_others_start() -> None:
    """Cut off, they would be generated again from their start elsewhere."""
    fleet, node = _make_fleet()
    fleet.submit(make_job(groups=6, size=3), 'a')
    fleet.clock.advance(0.5)
    running = node.states.get(_NAME).in_flight
    assert running
    started = len(node.samplers.started)
    _evacuate(fleet, _ZONE)
    fleet.clock.advance(1)
    assert node.states.get(_NAME).in_flight == running
    fleet.clock.advance(8)
    check_complete(fleet, 'a', 18)
    assert node.states.get(_NAME).in_flight == 0
    assert 'x' not in _list_started(node, started)
    assert max(node.samplers.generated.values()) == 40


def test_a_text_that_is_cut_in_the_zone_resumes_elsewhere() -> None:
    """It waits to be resumed when its sampler's zone is evacuated."""
    fleet, node = _make_fleet()
    fleet.submit(make_job(groups=2, size=3), 'a')
    fleet.clock.advance(0.5)
    started = len(node.samplers.started)
    node.samplers.down.add('x')
    _evacuate(fleet, _ZONE)
    fleet.clock.advance(0.3)
    node.samplers.down.clear()
    fleet.clock.advance(6)
    check_complete(fleet, 'a', 6)
    assert _list_started(node, started) <= {'y', 'z'}
    assert max(node.samplers.generated.values()) == 40


def test_a_move_into_the_zone_goes_elsewhere() -> None:
    """Its slot there is reserved, and the zone is evacuated before it ends."""
    fleet, node = _make_fleet()
    fleet.submit(make_job(groups=1, size=1), 'a')
    fleet.clock.advance(0.5)
    work = node.owner._active_jobs.list_open()[0]
    progress = _get_first(work)
    progress.move_target = _NAME
    _evacuate(fleet, _ZONE)
    started = len(node.samplers.started)
    progress.cancel()
    fleet.clock.advance(4)
    check_complete(fleet, 'a', 1)
    assert _list_started(node, started) <= {'y', 'z'}
    assert progress.move_target is None


def test_all_zones_evacuated_items_wait_and_start_at_the_return() -> None:
    """The job is durable; its items cost no calls meanwhile."""
    fleet, node = _make_fleet()
    _evacuate(fleet, _ZONE, ZoneId('zone-0'))
    fleet.submit(make_job(groups=2, size=3), 'a')
    fleet.clock.advance(3)
    assert not node.samplers.started
    _evacuate(fleet)
    fleet.clock.advance(4)
    check_complete(fleet, 'a', 6)


def test_an_unresponsive_sampler_of_the_zone_is_not_probed() -> None:
    """Its texts resume elsewhere; probes count as requests."""
    fleet, node = _make_fleet()
    fleet.submit(make_job(groups=4, size=3), 'a')
    fleet.clock.advance(0.5)
    _make_unresponsive(node, 'x')
    fleet.clock.advance(1)
    assert node.states.get(_NAME).unresponsive
    _evacuate(fleet, _ZONE)
    fleet.clock.advance(1)
    probes = node.samplers.reports['x']
    fleet.clock.advance(3)
    assert node.samplers.reports['x'] == probes
    assert not node.states.get(_NAME).unresponsive
    node.samplers.stalled.clear()
    _evacuate(fleet)
    fleet.clock.advance(4)
    check_complete(fleet, 'a', 12)


def test_a_text_moves_off_a_slow_sampler_of_the_zone() -> None:
    """It ends sooner elsewhere; one that would not stays where it is."""
    slow = _make_sampler('slow', free=0, interval=1.5)
    same = _make_sampler('slow', free=0)
    fast = _make_sampler('fast')
    remaining = RemainingTime(4, 6)

    def find(*sources: SamplerSlots) -> list[str]:
        work = _make_work(size=1)
        moves = find_moves(
            [work], [fast], NOW, lambda *_: remaining, sources=sources
        )
        urgent = find_urgent_moves(
            [_make_work()],
            [_make_sampler('fast')],
            NOW,
            lambda *_: remaining,
            sources=sources,
        )
        return [each.target for each in (*moves, *urgent)]

    assert not find()
    assert not find(same)
    assert find(slow) == ['fast', 'fast']


def test_only_samplers_that_run_texts_in_the_zone_are_sources() -> None:
    """Others would be looked up ten times a second for nothing."""
    states = SamplerStates()
    fleet, node = _make_fleet()
    table: UpstreamTable = node.upstreams
    assert not list_sources(SERVICE, table, states, 0.05, 4)
    _evacuate(fleet, _ZONE)
    assert not list_sources(SERVICE, table, states, 0.05, 4)
    states.get(_NAME).in_flight = 1
    states.record_event_interval(_NAME, 0.1)
    listed = list_sources(SERVICE, table, states, 0.05, 4)
    assert [(each.id, each.free) for each in listed] == [(_NAME, 0)]
    assert listed[0].relative_interval == 2
