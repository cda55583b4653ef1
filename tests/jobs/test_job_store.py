"""Accepted jobs, as they lie in the store."""

import pytest

from guavagate.clock import PausedClock
from guavagate.helpers.store_writes import MaybeWrittenError
from guavagate.jobs import JobConflictError, JobItem, JobStore
from guavagate.measure.fakes import MemoryStore, StoreState
from tests.jobs.fleet import make_job


class _PausedJobStore:
    """A job store on a paused clock."""

    def __init__(self) -> None:
        self.clock = PausedClock()
        self.state = StoreState()
        store = MemoryStore(self.clock, self.state)
        self.job_store = JobStore(store, self.clock, 'test')

    def call(self, run: object, *args: object) -> object:
        """Run a call to its end in virtual time."""
        task = self.clock.spawn(run, *args)  # type: ignore[arg-type]
        self.clock.run_until(task.ready, 30)
        return task.get(block=False)


def test_large_job_is_read_back_completely() -> None:
    """Its items are over what one object may hold."""
    held = _PausedJobStore()
    job = make_job(groups=40, size=1)
    items = [
        JobItem(
            id=each.id,
            path=each.path,
            headers={},
            body=bytes(50_000),
            group=each.group,
        )
        for each in job.items
    ]
    job = make_job(items=items)
    assert held.call(held.job_store.accept, job, 5)
    assert all(
        len(each.value) < 1_000_000 for each in held.state.objects.values()
    )
    assert held.call(held.job_store.read, job.id).items == items  # type: ignore[attr-defined]


def test_id_with_different_content_is_refused() -> None:
    """Another job under a taken id is refused, and nothing of it runs."""
    held = _PausedJobStore()
    held.call(held.job_store.accept, make_job(), 5)
    with pytest.raises(JobConflictError):
        held.call(held.job_store.accept, make_job(fingerprint='other'), 5)


def test_uncertain_acceptance_is_not_reported_as_refused() -> None:
    """The store answers nothing; the write may happen seconds later.

    "Not run" would be a lie then, so the caller is told that it is not
    known.
    """
    held = _PausedJobStore()
    held.state.outage = True
    with pytest.raises(MaybeWrittenError):
        held.call(held.job_store.accept, make_job(), 1)


def test_lost_answer_still_accepts_the_job() -> None:
    """The first answer is lost; the repetition finds the job there."""
    held = _PausedJobStore()
    held.state.lose_next = 1
    assert held.call(held.job_store.accept, make_job(), 5)
