"""A sampler becomes unresponsive while others have free slots."""

import pytest

from guavagate.exceptions import UpstreamError
from guavagate.models import UpstreamId
from guavagate.ports.sampler import SamplerReport
from guavagate.ports.upstreams import Upstream
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job

LENGTH = 60


@pytest.fixture
def fleet() -> JobFleet:
    """Return instances whose samplers generate long texts."""
    fleet = JobFleet(length=LENGTH)
    for node in fleet.nodes.values():
        node.samplers.length = LENGTH
    return fleet


def _make_unresponsive(node: Node, *names: str) -> None:
    """Make samplers send nothing on existing and new connections."""
    samplers = node.samplers
    samplers.stalled.update(names)
    report = samplers.report

    def report_or_fail(upstream: Upstream) -> SamplerReport:
        if upstream.id in samplers.stalled:
            node.clock.sleep(1)
            raise UpstreamError('silent', 'nothing')
        return report(upstream)

    samplers.report = report_or_fail  # type: ignore[method-assign]


def _count_in_flight(node: Node, name: str) -> int:
    return node.states.get(UpstreamId(name)).in_flight


def test_texts_on_an_unresponsive_sampler_resume_elsewhere(
    fleet: JobFleet,
) -> None:
    """Its streams stop without a reset, at an event interval of 50 ms.

    A single stream may stall for seconds, but the longest texts take most of a
    step's time. When all streams of a sampler stall for fifteen intervals, the
    sampler is gone and its texts must not wait.
    """
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=4, size=2), 'a')
    fleet.clock.advance(1)
    assert _count_in_flight(node, 'x') >= 2
    _make_unresponsive(node, 'x')
    fleet.clock.advance(1)
    assert _count_in_flight(node, 'x') == 0
    fleet.clock.advance(4)
    check_complete(fleet, 'a', 8)


def test_an_unresponsive_sampler_gets_no_items_until_it_responds(
    fleet: JobFleet,
) -> None:
    """Items sent there would wait for seconds, the longest ones first."""
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=9, size=2), 'a')
    fleet.clock.advance(1)
    _make_unresponsive(node, 'x')
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
    assert _count_in_flight(node, 'x') > 0


def test_a_single_stalled_stream_is_not_moved(fleet: JobFleet) -> None:
    """A sampler may preempt one text while it lacks memory."""
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=1, size=1), 'a')
    fleet.clock.advance(1)
    running = next(
        name for name in 'xyz' if node.states.get(UpstreamId(name)).in_flight
    )
    node.samplers.stalled.add(running)
    fleet.clock.advance(1.2)
    assert _count_in_flight(node, running) == 1


def test_a_weight_load_does_not_count_as_unresponsive(fleet: JobFleet) -> None:
    """A sampler that loads weights may stall its streams for a second.

    Moving them would gain nothing.
    """
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=4, size=2), 'a')
    fleet.clock.advance(1)
    in_flight = _count_in_flight(node, 'x')
    node.states.get(UpstreamId('x')).loading = True
    node.samplers.stalled.add('x')
    fleet.clock.advance(1.2)
    assert _count_in_flight(node, 'x') == in_flight


def test_stall_timeout_grows_with_the_event_interval() -> None:
    """Samplers have five times the usual event interval.

    The timeout follows the measured interval, so texts on slow samplers don't
    move at each pause.
    """
    fleet = JobFleet(length=LENGTH)
    for each in fleet.nodes.values():
        each.samplers.length = LENGTH
        each.samplers.event_seconds = dict.fromkeys('xyz', 0.25)
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job(groups=4, size=2), 'a')
    fleet.clock.advance(3)
    in_flight = _count_in_flight(node, 'x')
    assert in_flight
    node.samplers.stalled.add('x')
    fleet.clock.advance(1.2)
    assert _count_in_flight(node, 'x') == in_flight
