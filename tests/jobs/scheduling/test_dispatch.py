"""What the job owner does with the decisions on moves and memory."""

import logging

import msgspec
import pytest

from guavagate.jobs import Job
from guavagate.jobs.scheduling._lengths import MIN_TEXTS
from guavagate.models import UpstreamId
from tests.jobs.fleet import JobFleet, check_complete, make_job
from tests.jobs.samplers import MODEL
from tests.jobs.scheduling.test_forecast import make_work

LENGTH = 60


def _make_fleet(samplers: str) -> JobFleet:
    """Return instances whose samplers generate long texts."""
    fleet = JobFleet(samplers=samplers, length=LENGTH)
    for node in fleet.nodes.values():
        node.samplers.length = LENGTH
    return fleet


def _make_large_job(items: int) -> Job:
    """Return a job whose items have a prompt of 900 tokens each."""
    job = make_job(groups=items, size=1)
    large = [
        msgspec.structs.replace(each, prompt_tokens=900) for each in job.items
    ]
    return msgspec.structs.replace(job, items=large)


def test_a_text_moves_to_the_chosen_sampler() -> None:
    """All texts start before it is known that two of the samplers are slow.

    The slot on the fast sampler stays reserved while the run at the slow one
    ends, and the text resumes there after its last event.
    """
    fleet = _make_fleet('xyz')
    node = fleet.nodes[fleet.owner()]
    node.samplers.event_seconds |= {'x': 0.15, 'y': 0.15}
    fleet.submit(make_job(groups=6, size=1), 'a')
    fleet.clock.advance(25)
    check_complete(fleet, 'a', 6)
    resumed = [each for each in node.samplers.started if each[2]]
    assert resumed
    assert {sampler for _, sampler, _ in resumed} == {'z'}
    assert max(node.samplers.generated.values()) <= LENGTH + 2
    metrics = node.metrics.render('')[0].decode()
    assert 'guavagate_texts_moved_total{' in metrics
    for name in 'xyz':
        assert node.states.get(UpstreamId(name)).in_flight == 0


def test_texts_wait_until_an_engine_has_memory(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A sampler has four slots, and its engine memory for two prompts.

    If all four texts ran, the engine would preempt two of them again and again.
    """
    fleet = _make_fleet('x')
    fleet.cache_tokens = 2000
    node = fleet.nodes[fleet.owner()]
    with caplog.at_level(logging.INFO):
        fleet.submit(_make_large_job(4), 'a')
        fleet.clock.advance(1)
    assert node.states.get(UpstreamId('x')).in_flight == 2
    lines = [each for each in caplog.messages if 'GG9030' in each]
    assert len(lines) == 1
    fleet.clock.advance(8)
    check_complete(fleet, 'a', 4)


def test_a_service_without_memory_limit_uses_all_slots() -> None:
    """The configuration names none, as that of most services."""
    fleet = _make_fleet('x')
    node = fleet.nodes[fleet.owner()]
    fleet.submit(_make_large_job(4), 'a')
    fleet.clock.advance(1)
    assert node.states.get(UpstreamId('x')).in_flight == 4


def test_a_new_owner_knows_the_lengths_of_committed_texts() -> None:
    """The owner is lost while the longest texts of a step run.

    Their lengths must be estimated at once. Until enough texts had completed at
    the new owner, none of them moved off a slow sampler in less than 1.5 s.
    """
    fleet = _make_fleet('xyz')
    for node in fleet.nodes.values():
        node.samplers.length = 10
    fleet.submit(make_job(groups=60, size=1), 'a')
    first = fleet.owner()
    fleet.clock.run_until(
        lambda: len(fleet.read('job-1', first)[1]) >= MIN_TEXTS, 10
    )
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    fleet.clock.run_until(lambda: fleet.owner() != first, 10)
    node = fleet.nodes[fleet.owner()]
    fleet.clock.run_until(lambda: bool(node.samplers.started), 10)
    assert node.samplers.started
    assert node.owner._dispatcher._lengths.is_known(MODEL)
    work = make_work('new', tokens=0)
    length = node.owner._dispatcher._lengths.estimate(
        MODEL, next(iter(work.items.values()))
    )
    assert length.typical == 10
