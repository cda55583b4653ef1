"""An owner works on the jobs of its own service only."""

import msgspec
import pytest

from guavagate.jobs import Job, JobId, LookupStatus
from guavagate.models import ServiceId
from tests.jobs.fleet import JobFleet, Node, find_other, make_job
from tests.jobs.samplers import SERVICE

_OTHER = ServiceId('other')


@pytest.fixture
def fleet() -> JobFleet:
    """Return three instances; one owns the jobs of a service."""
    return JobFleet()


def _make_foreign_job() -> Job:
    """Return a job of another service."""
    return msgspec.structs.replace(make_job(), service=_OTHER)


def _owner(fleet: JobFleet) -> Node:
    return fleet.nodes[fleet.owner()]


def _count_reads(fleet: JobFleet, node: Node, path: str) -> list[str]:
    """Return a list that grows with each read of an object by an instance."""
    reads: list[str] = []
    store = node.job_store.object_store
    get = store.get

    def record_and_get(wanted: str) -> object:
        if wanted == path:
            reads.append(wanted)
        return get(wanted)

    store.get = record_and_get  # type: ignore[method-assign, assignment]
    return reads


def test_a_read_makes_no_other_service_run_a_job(fleet: JobFleet) -> None:
    """The owner of another service found it in the store, and ran its items.

    A read names no service, so the owners of all services are asked in turn.
    """
    fleet.submit(_make_foreign_job(), 'a')
    status, results = fleet.read('job-1', find_other(fleet))
    fleet.clock.advance(5)
    assert (status, results) == (LookupStatus.FOUND, [])
    assert not _owner(fleet).samplers.started
    assert JobId('job-1') not in _owner(fleet).owner._active_jobs


def test_a_body_is_read_from_the_store_if_no_owner_has_it(
    fleet: JobFleet,
) -> None:
    """Its service has no owner here, and the job is not loaded for it."""
    fleet.submit(_make_foreign_job(), 'a')
    node = fleet.nodes[find_other(fleet)]
    item = make_job().items[0].id
    task = node.clock.spawn(
        node.reader.read_item, [SERVICE], JobId('job-1'), item
    )
    fleet.clock.run_until(task.ready, 5)
    assert task.get(block=False)[0] is LookupStatus.FOUND
    fleet.clock.advance(5)
    assert not _owner(fleet).samplers.started


def test_an_announcement_for_another_service_starts_nothing(
    fleet: JobFleet,
) -> None:
    """A message that arrives at the wrong owner must not start its items."""
    _owner(fleet).owner._active_jobs.add_announced(_make_foreign_job())
    fleet.clock.advance(5)
    assert not _owner(fleet).samplers.started


def test_reads_of_another_services_job_cost_its_owner_no_store_calls(
    fleet: JobFleet,
) -> None:
    """A trainer reads twice a second, and the owner has followed the store."""
    fleet.submit(_make_foreign_job(), 'a')
    fleet.clock.advance(1)
    reads = _count_reads(fleet, _owner(fleet), 'jobs/job-1')
    for _ in range(5):
        fleet.read('job-1', find_other(fleet))
    assert not reads
