"""An item that crashes samplers is held back, and others run on."""

import logging

import msgspec
import pytest

from guavagate.events.jobs import ITEM_STOPPED
from guavagate.jobs import Job, ResultState
from guavagate.models import UpstreamId
from tests.jobs.fleet import JobFleet, Node, find_other, make_job
from tests.jobs.samplers import MODEL, make_upstream

_BAD = '0-0'
_RESTART_SECONDS = 2
_DONE_SECONDS = 20
# The fleet may send it three times until it is known, and some times more.
_MAX_CRASHES = 5


def _make_job(name: str = 'job-1') -> Job:
    """Return a job whose items differ in their content."""
    job = make_job(name, groups=4, size=3, item_ttl=60)
    items = [
        msgspec.structs.replace(each, body=each.id.encode())
        for each in job.items
    ]
    return msgspec.structs.replace(job, items=items)


class _Fleet(JobFleet):
    """A crashed sampler is back after two seconds under a new id."""

    def __init__(self) -> None:
        super().__init__(samplers='vwxyz')
        node = self.get_owner()
        node.samplers.on_crash = self._restart_later
        node.samplers.crashing.add(_BAD)

    def get_owner(self) -> Node:
        """Return the instance that owns the jobs."""
        return self.nodes[self.owner()]

    def count_done(self, job: str = 'job-1') -> int:
        """Return how many items of a job are committed."""
        _, results = self.read(job, find_other(self))
        assert all(each.state is ResultState.COMPLETED for each in results)
        return len(results)

    def list_runs(self, item: str) -> list[str]:
        """Return the samplers that started to run an item."""
        started = self.get_owner().samplers.started
        return [sampler for name, sampler, _ in started if name == item]

    def _restart_later(self, name: str) -> None:
        node = self.get_owner()
        node.clock.spawn(self._restart, node, name)

    def _restart(self, node: Node, name: str) -> None:
        node.clock.sleep(_RESTART_SECONDS)
        node.upstreams.remove(UpstreamId(name))
        new = make_upstream(f"{name}'")
        node.upstreams.put(new)
        node.states.assigned[new.id] = frozenset((MODEL,))
        node.states.update(node.upstreams.registered())


@pytest.fixture
def fleet() -> _Fleet:
    """Return three instances with five samplers."""
    return _Fleet()


def test_an_item_that_crashes_samplers_is_soon_sent_to_none(
    fleet: _Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """Its owner resumes it elsewhere at once, sampler after sampler.

    The items that were displaced with it are completed.
    """
    caplog.set_level(logging.INFO)
    fleet.submit(_make_job(), 'a')
    fleet.clock.advance(_DONE_SECONDS)
    assert len(fleet.list_runs(_BAD)) <= _MAX_CRASHES
    assert fleet.count_done() == 11
    events = [getattr(record, 'event', '') for record in caplog.records]
    assert events.count(ITEM_STOPPED.code) == 1


def test_a_stopped_item_that_a_later_job_submits_again_is_held_back(
    fleet: _Fleet,
) -> None:
    """Groups that were not complete return in a later job."""
    fleet.submit(_make_job(), 'a')
    fleet.clock.advance(_DONE_SECONDS)
    runs = len(fleet.list_runs(_BAD))
    fleet.submit(_make_job('job-2'), 'a')
    fleet.clock.advance(_DONE_SECONDS)
    assert len(fleet.list_runs(_BAD)) == runs
    assert fleet.count_done('job-2') == 11


def test_a_released_item_runs_again(fleet: _Fleet) -> None:
    """The samplers were mended, and an operator removes the record."""
    fleet.submit(_make_job(), 'a')
    fleet.clock.advance(_DONE_SECONDS)
    node = fleet.get_owner()
    record = node.quarantine.find(_make_job().describe(_make_job().items[0]))
    assert record is not None
    node.samplers.crashing.clear()
    node.quarantine.remove(record.name)
    fleet.clock.advance(_DONE_SECONDS)
    assert fleet.count_done() == 12


def test_items_whose_samplers_are_killed_are_completed(
    fleet: _Fleet,
) -> None:
    """Three samplers are killed under long texts, one after the other."""
    node = fleet.get_owner()
    node.samplers.crashing.clear()
    node.samplers.length = 60
    fleet.submit(_make_job(), 'a')
    for name in 'vwx':
        fleet.clock.advance(1.5)
        node.samplers.crash(name)
    fleet.clock.advance(_DONE_SECONDS)
    assert fleet.count_done() == 12
