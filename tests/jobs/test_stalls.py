"""A sampler goes dark with texts on it, while others have free slots."""

import pytest

from guavagate.exceptions import UpstreamError
from guavagate.models import UpstreamId
from guavagate.ports.sampler import SamplerReport
from guavagate.ports.upstreams import Upstream
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job

LENGTH = 60


@pytest.fixture
def fleet() -> JobFleet:
    """Return instances whose samplers make long texts."""
    fleet = JobFleet(length=LENGTH)
    for node in fleet.nodes.values():
        node.samplers.length = LENGTH
    return fleet


def _darken(node: Node, *names: str) -> None:
    """Have samplers send nothing more, on old connections or new ones."""
    samplers = node.samplers
    samplers.stalled.update(names)
    report = samplers.report

    def answer(upstream: Upstream) -> SamplerReport:
        if upstream.id in samplers.stalled:
            node.clock.sleep(1)
            raise UpstreamError('silent', 'nothing')
        return report(upstream)

    samplers.report = answer  # type: ignore[method-assign]


def _count_on(node: Node, name: str) -> int:
    return node.states.get(UpstreamId(name)).in_flight


def test_texts_on_a_dark_sampler_go_on_elsewhere_at_once(
    fleet: JobFleet,
) -> None:
    """Its streams stop without a reset, at events that come each 50 ms.

    The longest texts take most of the time that a step has. Each stream alone
    may be silent for seconds; that all of one sampler are for fifteen events
    tells that it is gone.
    """
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=4, size=2), 'a')
    fleet.clock.advance(1)
    assert _count_on(node, 'x') >= 2
    _darken(node, 'x')
    fleet.clock.advance(1)
    assert _count_on(node, 'x') == 0
    fleet.clock.advance(4)
    check_complete(fleet, 'a', 8)


def test_a_dark_sampler_gets_nothing_until_it_answers(fleet: JobFleet) -> None:
    """What is sent there would wait for seconds, the longest texts first."""
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=9, size=2), 'a')
    fleet.clock.advance(1)
    _darken(node, 'x')
    fleet.clock.advance(1)
    before = len(node.samplers.started)
    fleet.clock.advance(2)
    later = node.samplers.started[before:]
    assert later
    assert 'x' not in {sampler for _, sampler, _ in later}
    node.samplers.stalled.clear()
    fleet.clock.advance(2)
    fleet.submit(make_job('job-2', groups=6, size=2), 'a')
    fleet.clock.advance(1)
    assert _count_on(node, 'x') > 0


def test_one_silent_stream_is_given_its_time(fleet: JobFleet) -> None:
    """A sampler may put one text off while it lacks memory."""
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=1, size=1), 'a')
    fleet.clock.advance(1)
    running = next(
        name for name in 'xyz' if node.states.get(UpstreamId(name)).in_flight
    )
    node.samplers.stalled.add(running)
    fleet.clock.advance(1.2)
    assert _count_on(node, running) == 1


def test_a_sampler_that_loads_weights_is_not_dark(fleet: JobFleet) -> None:
    """Its streams may stop for a second; moving them would gain nothing."""
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=4, size=2), 'a')
    fleet.clock.advance(1)
    held = _count_on(node, 'x')
    node.states.get(UpstreamId('x')).loading = True
    node.samplers.stalled.add('x')
    fleet.clock.advance(1.2)
    assert _count_on(node, 'x') == held


def test_slow_samplers_are_given_longer() -> None:
    """At five times the usual time for an event silence takes longer to tell.

    Bounds come from what samplers show, so a fleet of slow ones is not moved
    about at each pause.
    """
    fleet = JobFleet(length=LENGTH)
    for each in fleet.nodes.values():
        each.samplers.length = LENGTH
        each.samplers.event_seconds = dict.fromkeys('xyz', 0.25)
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=4, size=2), 'a')
    fleet.clock.advance(3)
    held = _count_on(node, 'x')
    assert held
    node.samplers.stalled.add('x')
    fleet.clock.advance(1.2)
    assert _count_on(node, 'x') == held
