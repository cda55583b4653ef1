"""Accepted jobs in the store."""

import pytest

from guavagate.clock import PausedClock
from guavagate.helpers.store_writes import MaybeWrittenError, NotWrittenError
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
        """Run a call to completion in virtual time."""
        task = self.clock.spawn(run, *args)  # type: ignore[arg-type]
        self.clock.run_until(task.ready, 30)
        return task.get(block=False)


def test_large_job_is_read_back_completely() -> None:
    """The items of the job exceed the size limit of one object."""
    setup = _PausedJobStore()
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
    assert setup.call(setup.job_store.accept, job, 5)
    assert all(
        len(each.value) < 1_000_000 for each in setup.state.objects.values()
    )
    assert setup.call(setup.job_store.read, job.id).items == items  # type: ignore[attr-defined]


def test_id_with_different_content_is_refused() -> None:
    """A different job under a used id is refused, and none of it runs."""
    setup = _PausedJobStore()
    setup.call(setup.job_store.accept, make_job(), 5)
    with pytest.raises(JobConflictError):
        setup.call(setup.job_store.accept, make_job(fingerprint='other'), 5)


def test_uncertain_acceptance_is_not_reported_as_refused() -> None:
    """The store does not answer; the write may take effect seconds later.

    Reporting "not run" would be wrong, so the acceptance is uncertain.
    """
    setup = _PausedJobStore()
    assert setup.call(setup.job_store.accept, make_job('job-0'), 5)
    setup.state.outage = True
    with pytest.raises(MaybeWrittenError):
        setup.call(setup.job_store.accept, make_job(), 1)


def test_a_job_is_refused_before_its_service_is_recorded() -> None:
    """Without the record, nobody might find the job after a restart."""
    setup = _PausedJobStore()
    setup.state.outage = True
    with pytest.raises(NotWrittenError):
        setup.call(setup.job_store.accept, make_job(), 1)
    assert not setup.state.objects
    setup.state.outage = False
    assert setup.call(setup.job_store.accept, make_job(), 5)
    assert 'job-services/llm' in setup.state.objects


def test_lost_answer_still_accepts_the_job() -> None:
    """The first answer is lost; the retry finds the job in the store."""
    setup = _PausedJobStore()
    setup.state.lose_next = 1
    assert setup.call(setup.job_store.accept, make_job(), 5)
