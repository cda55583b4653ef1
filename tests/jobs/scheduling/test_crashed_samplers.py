"""An item is owed, however many samplers crashed while they ran it."""

import logging

import msgspec
import pytest

from guavagate.events.jobs import ITEM_INTERRUPTED
from guavagate.jobs import Job, ResultState
from guavagate.jobs.texts import MAX_BREAK_BACKOFF_SECONDS
from guavagate.jobs.texts._runner import _compute_break_backoff
from guavagate.models import UpstreamId
from tests.jobs.fleet import JobFleet, Node, find_other, make_job
from tests.jobs.samplers import MODEL, make_upstream

_ITEM = '0-0'
_RESTART_SECONDS = 2
_DONE_SECONDS = 20
# A text of ten events takes half a second.
_TEXT_SECONDS = 1
# What is owed runs within this time once its samplers are sound.
_BOUND_SECONDS = 5
# In `_DONE_SECONDS`: four at once, then after pauses of 0.25, 0.5, 1 and 2 s.
_MAX_RUNS = 16


def _make_job(name: str = 'job-1', size: int = 3) -> Job:
    """Return a job whose items differ in their content."""
    job = make_job(name, groups=4, size=size, item_ttl=60)
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
        node.samplers.length = 10

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

    def crash_under(self, item: str, times: int) -> None:
        """Crash samplers, each soon after it has begun to run an item."""
        give_up_at = self.clock.now() + _DONE_SECONDS
        for number in range(times):
            while len(self.list_runs(item)) <= number:
                assert self.clock.now() < give_up_at, 'no sampler got the item'
                self.clock.advance(0.01)
            self.clock.advance(0.1)
            self.get_owner().samplers.crash(self.list_runs(item)[-1])

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


@pytest.mark.parametrize('crashes', [3, 5])
def test_an_item_whose_samplers_crashed_in_a_burst_is_completed(
    fleet: _Fleet, crashes: int
) -> None:
    """A sound item was taken for the cause, and no sampler got it again.

    It ran alone at the first sampler, so no other item was at all of them.
    """
    fleet.submit(_make_job(size=1), 'a')
    fleet.crash_under(_ITEM, crashes)
    fleet.clock.advance(_BOUND_SECONDS)
    assert fleet.count_done() == 4


def test_a_resubmitted_item_whose_samplers_crashed_is_completed(
    fleet: _Fleet,
) -> None:
    """It was held back in each later job that submitted its group again."""
    fleet.submit(_make_job(size=1), 'a')
    fleet.crash_under(_ITEM, 3)
    fleet.submit(_make_job('job-2', size=1), 'a')
    fleet.clock.advance(_BOUND_SECONDS)
    assert fleet.count_done('job-2') == 4


def test_an_item_that_ends_each_sampler_is_run_less_and_less_often(
    fleet: _Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """Restarts without a pause would take down one sampler after the other.

    The items that were displaced with it are completed.
    """
    caplog.set_level(logging.INFO)
    fleet.get_owner().samplers.crashing.add(_ITEM)
    fleet.submit(_make_job(), 'a')
    fleet.clock.advance(_DONE_SECONDS)
    runs = len(fleet.list_runs(_ITEM))
    assert 3 < runs <= _MAX_RUNS
    assert fleet.count_done() == 11
    breaks = [
        record.__dict__['fields']['breaks']
        for record in caplog.records
        if getattr(record, 'event', '') == ITEM_INTERRUPTED.code
    ]
    assert max(breaks) == runs


def test_an_item_is_completed_soon_after_its_samplers_are_sound(
    fleet: _Fleet,
) -> None:
    """They were mended, and no operator removes a record."""
    samplers = fleet.get_owner().samplers
    samplers.crashing.add(_ITEM)
    fleet.submit(_make_job(), 'a')
    fleet.clock.advance(_DONE_SECONDS)
    samplers.crashing.clear()
    fleet.clock.advance(MAX_BREAK_BACKOFF_SECONDS + _TEXT_SECONDS)
    assert fleet.count_done() == 12


def test_items_whose_samplers_are_killed_are_completed(
    fleet: _Fleet,
) -> None:
    """Three samplers are killed under long texts, one after the other."""
    node = fleet.get_owner()
    node.samplers.length = 60
    fleet.submit(_make_job(), 'a')
    for name in 'vwx':
        fleet.clock.advance(1.5)
        node.samplers.crash(name)
    fleet.clock.advance(_DONE_SECONDS)
    assert fleet.count_done() == 12


def test_an_item_that_lost_thousands_of_samplers_waits_no_longer() -> None:
    """Doubling its pause each time overflowed, and ended its owner's task."""
    assert _compute_break_backoff(5_000) == MAX_BREAK_BACKOFF_SECONDS


def test_an_item_is_no_suspect_however_many_samplers_crashed(
    fleet: _Fleet,
) -> None:
    """The owner told the fleet of each run, and the fleet stopped the item."""
    fleet.submit(_make_job(size=1), 'a')
    fleet.crash_under(_ITEM, 5)
    fleet.clock.advance(_BOUND_SECONDS)
    job = _make_job()
    content = job.describe(job.items[0])
    assert job.items[0].id == _ITEM
    assert fleet.get_owner().quarantine.find(content) is None
    assert fleet.get_owner().quarantine.size == 0
