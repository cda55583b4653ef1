"""Jobs whose owners fail, freeze or disagree, and store outages."""

import msgspec
import pytest

from guavagate.jobs import ItemId, JobId, LookupStatus
from guavagate.jobs._models import job_path
from tests.jobs.fleet import JobFleet, check_complete, find_other, make_job
from tests.jobs.samplers import make_upstream

_COMPLETION_SECONDS = 20


@pytest.fixture
def fleet() -> JobFleet:
    """Return three instances with three samplers."""
    return JobFleet()


def test_any_instance_reads_results_committed_by_the_owner(
    fleet: JobFleet,
) -> None:
    """A job accepted at one instance is run by the owner and read anywhere."""
    assert fleet.submit(make_job(), find_other(fleet))
    fleet.clock.advance(_COMPLETION_SECONDS)
    for name in fleet.nodes:
        check_complete(fleet, name, 6)


def test_repeated_submission_is_accepted_once(fleet: JobFleet) -> None:
    """The trainer got no answer and submits its job at another instance.

    The id exists with the same content, so the job is accepted once and its
    items run once.
    """
    fleet.submit(make_job(), 'a')
    assert not fleet.submit(make_job(), 'b')
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'c', 6)


def test_killed_owner_loses_no_job_and_duplicates_no_result(
    fleet: JobFleet,
) -> None:
    """The owner is killed with some results committed.

    The next owner loads them and runs only the missing items. Positions that
    were read before do not change.
    """
    fleet.length = 40
    for node in fleet.nodes.values():
        node.samplers.length = 40
    first = fleet.owner()
    fleet.submit(make_job(groups=8), find_other(fleet))
    fleet.clock.advance(2.6)
    survivor = find_other(fleet)
    _, before = fleet.read('job-1', survivor)
    assert 0 < len(before) < 16
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    fleet.clock.advance(_COMPLETION_SECONDS)
    _, after = fleet.read('job-1', survivor)
    assert after[: len(before)] == before
    check_complete(fleet, survivor, 16)


def test_resumed_owner_commits_nothing_twice(
    fleet: JobFleet,
) -> None:
    """The owner is paused, another finishes its job, then it resumes.

    It still considers its results valid and commits them. The number of its
    next chunk exists, so it adopts that chunk and drops its own results.
    """
    first = fleet.owner()
    fleet.submit(make_job(), find_other(fleet))
    fleet.clock.advance(0.2)
    fleet.world.pause(first)
    fleet.clock.advance(_COMPLETION_SECONDS)
    fleet.world.resume(first)
    fleet.clock.advance(_COMPLETION_SECONDS)
    for name in fleet.nodes:
        check_complete(fleet, name, 6)


def test_two_concurrent_owners_commit_each_item_once(fleet: JobFleet) -> None:
    """All instances believe they own the job and run all its items."""
    fleet.submit(make_job(groups=6), 'a')
    for node in fleet.nodes.values():
        node.ownership.is_owner = lambda _: True  # type: ignore[method-assign, assignment]
        node.owner.start()
    fleet.clock.advance(_COMPLETION_SECONDS)
    for name in fleet.nodes:
        check_complete(fleet, name, 12)


def test_readers_see_only_durable_results(fleet: JobFleet) -> None:
    """The store is unavailable when results are ready.

    A result shown to a reader could be lost with the owner. Readers see a
    result only once the store has it.
    """
    fleet.submit(make_job(), find_other(fleet))
    fleet.clock.advance(0.1)
    fleet.world.store.outage = True
    fleet.clock.advance(5)
    _, shown = fleet.read('job-1', fleet.owner())
    assert not shown
    fleet.world.store.outage = False
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, fleet.owner(), 6)


def test_lost_store_answers_duplicate_no_results(fleet: JobFleet) -> None:
    """Half of the writes take effect although their answer is lost."""
    fleet.world.store.lose_answers = 0.5
    assert fleet.submit(make_job(groups=6), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    fleet.world.store.lose_answers = 0
    fleet.clock.advance(_COMPLETION_SECONDS)
    for name in fleet.nodes:
        check_complete(fleet, name, 12)


def test_ended_job_stops_running(fleet: JobFleet) -> None:
    """The trainer ends a job at an instance that does not own it.

    The end is written to the store, so the owner learns of it whatever happens
    to that instance. Running items are cancelled and none starts.
    """
    for node in fleet.nodes.values():
        node.samplers.length = 400
    fleet.submit(make_job(groups=20), 'a')
    fleet.clock.advance(1)
    node = fleet.nodes[find_other(fleet)]
    node.clock.spawn(node.job_store.end, JobId('job-1'), 2.5)
    fleet.clock.advance(1)
    samplers = fleet.nodes[fleet.owner()].samplers
    started = len(samplers.started)
    made = sum(samplers.generated.values())
    fleet.clock.advance(5)
    assert len(samplers.started) == started
    assert sum(samplers.generated.values()) == made


def test_missing_job_is_distinguished_from_an_uncertain_one(
    fleet: JobFleet,
) -> None:
    """Only the store can say that a job is missing, not a lagging view."""
    fleet.clock.advance(1)
    assert fleet.read('job-9', 'a')[0] is LookupStatus.MISSING
    fleet.world.store.outage = True
    assert fleet.read('job-9', 'a')[0] is LookupStatus.UNCERTAIN


def test_an_item_moves_from_a_slow_sampler(fleet: JobFleet) -> None:
    """One sampler becomes four times slower while items run on it.

    They resume at a faster idle one, so the slowest sampler does not determine
    the time of the step.
    """
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.length = 60
    fleet.length = 60
    owner.samplers.event_seconds['x'] = 0.2
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(6)
    check_complete(fleet, 'a', 6)


def test_closed_jobs_are_removed_after_their_retention(
    fleet: JobFleet,
) -> None:
    """Without removal, they would fill the store and every owner's memory.

    Within the retention time, the results stay readable.
    """
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(100)
    check_complete(fleet, 'a', 6)
    fleet.clock.advance(100)
    assert set(fleet.world.store.objects) == {'job-services/llm'}
    assert fleet.read('job-1', fleet.owner())[0] is LookupStatus.MISSING


def test_events_of_an_older_version_than_registered_are_dropped(
    fleet: JobFleet,
) -> None:
    """A sampler registered version 2 but sends events of version 1.

    The step accepts versions from 2 on. Events of version 1 are dropped, and
    committed texts name version 2 only.
    """
    owner = fleet.nodes[fleet.owner()]
    for sampler in 'xyz':
        owner.states.record_version(sampler, 'm0', 2)  # type: ignore[arg-type]
    owner.samplers.versions = {'y': 2, 'z': 2}  # type: ignore[dict-item]
    fleet.submit(make_job(min_version=2), 'a')
    fleet.clock.advance(1)
    owner.samplers.versions['x'] = 2  # type: ignore[assignment]
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    _, results = fleet.read('job-1', 'a')
    assert {tuple(each.versions) for each in results} == {(2,)}


def test_runs_of_a_restarted_sampler_resume_elsewhere(
    fleet: JobFleet,
) -> None:
    """A sampler crashes behind a network partition and restarts with its id.

    Its streams stall for ever. The registration of the new process reveals the
    restart, so the runs resume at once after their last complete event and do
    not wait for the stall limit.
    """
    fleet.length = 40
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.length = 40
    for name in 'xyz':
        owner.upstreams.put(make_upstream(name, incarnation=100))
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(1)
    owner.samplers.stalled.add('x')
    fleet.clock.advance(0.6)
    before = len(owner.samplers.started)
    owner.upstreams.put(make_upstream('x', incarnation=200))
    fleet.clock.advance(0.3)
    again = owner.samplers.started[before:]
    assert again
    assert min(after for _, _, after in again) > 0
    owner.samplers.stalled.clear()
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)


def test_resumed_owner_serves_results_committed_by_others(
    fleet: JobFleet,
) -> None:
    """The owner is frozen with some results committed, and resumes later.

    Meanwhile the next owner commits the rest, readers see it, and the trainer
    ends the job. The resumed owner receives reads again, as it has run longest.
    It has nothing left to commit, so it finds no chunk of the other owner, and
    positions that were read before would be lost for good.
    """
    fleet.length = 40
    for node in fleet.nodes.values():
        node.samplers.length = 40
    first = fleet.owner()
    reader = find_other(fleet)
    fleet.submit(make_job(groups=8), reader)
    fleet.clock.advance(2.6)
    _, before = fleet.read('job-1', reader)
    assert 0 < len(before) < 16
    fleet.world.pause(first)
    fleet.clock.advance(_COMPLETION_SECONDS)
    _, shown = fleet.read('job-1', reader)
    assert len(shown) == 16
    node = fleet.nodes[reader]
    node.clock.spawn(node.job_store.end, JobId('job-1'), 2.5)
    fleet.clock.advance(1)
    fleet.world.resume(first)
    fleet.clock.advance(1)
    assert fleet.owner() == first
    for name in fleet.nodes:
        for after in (*range(15, -1, -1), 15):
            status, rest = fleet.read('job-1', name, after)
            assert status is LookupStatus.FOUND
            assert rest
            assert rest == shown[after : after + len(rest)]


def test_owner_clock_set_back_hides_no_results(fleet: JobFleet) -> None:
    """The owner's wall clock jumps back by seconds, and its watch breaks.

    A job that others worked on meanwhile seems to be new, so its log is not
    read when it is loaded. Its committed results must be found nevertheless
    once they are read.
    """
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    other = fleet.nodes[find_other(fleet)]
    active_jobs = other.owner._active_jobs
    active_jobs.owning = True
    reading = other.clock.spawn(
        other.job_store.object_store.get, job_path(JobId('job-1'))
    )
    fleet.clock.run_until(reading.ready, 5)
    stored = reading.get(block=False)
    loading = other.clock.spawn(
        active_jobs.load_stored, JobId('job-1'), stored, True
    )
    fleet.clock.run_until(loading.ready, 5)
    loading.get(block=False)
    page_read = other.clock.spawn(active_jobs.read, JobId('job-1'), 0, 0)
    fleet.clock.run_until(page_read.ready, 5)
    status, page = page_read.get(block=False)
    assert status is LookupStatus.FOUND
    assert len(page.results) == 6


def test_uncertain_owner_does_not_report_missing_results(
    fleet: JobFleet,
) -> None:
    """A job is uncertain, the store is slow, and two readers read at once.

    Neither gets an empty page while the reconciliation runs: an uncertain owner
    makes readers read the store. Soon after, the owner has the results.
    """
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    owner = fleet.nodes[fleet.owner()]
    active_jobs = owner.owner._active_jobs
    job = active_jobs.get(JobId('job-1'))
    assert job is not None
    job.work.log = owner.job_store.open_log(JobId('job-1'))
    active_jobs.mark_uncertain()
    fleet.world.store.added_delay = 0.35
    reads = [
        owner.clock.spawn(active_jobs.read, JobId('job-1'), 5, 0)
        for _ in range(2)
    ]
    fleet.clock.run_until(lambda: all(each.ready() for each in reads), 5)
    assert {each.get(block=False)[0] for each in reads} == {
        LookupStatus.UNCERTAIN
    }
    fleet.clock.advance(1)
    fleet.world.store.added_delay = 0
    status, page = active_jobs.read(JobId('job-1'), 5, 0)
    assert status is LookupStatus.FOUND
    assert page is not None
    assert len(page.results) == 1


def test_reader_is_served_when_an_outage_delays_reconciliation(
    fleet: JobFleet,
) -> None:
    """The members change during a store outage while readers wait for results.

    Results that are committed when the store is back reach them at once; they
    do not wait for a reconciliation that the outage delays.
    """
    fleet.submit(make_job(), find_other(fleet))
    fleet.clock.advance(0.1)
    owner = fleet.nodes[fleet.owner()]
    fleet.world.store.outage = True
    owner.owner.mark_uncertain()
    reading = owner.clock.spawn(owner.owner.read, JobId('job-1'), 0, 5)
    fleet.clock.advance(2)
    assert not reading.ready()
    fleet.world.store.outage = False
    fleet.clock.advance(1.5)
    assert reading.ready()
    status, page = reading.get(block=False)
    assert status is LookupStatus.FOUND
    assert page is not None
    assert page.results


def test_new_owner_starts_with_the_oldest_step(fleet: JobFleet) -> None:
    """The owner is killed with one step nearly complete and one just submitted.

    The next owner loads the new step first. If it started at once, the new step
    would take every slot, and the last items of the old one, for which its
    trainer waits, would run after them.
    """
    fleet.length = 40
    for node in fleet.nodes.values():
        node.samplers.length = 40
    first = fleet.owner()
    reader = find_other(fleet)
    fleet.submit(make_job('job-9', groups=8), reader, announced=False)
    fleet.clock.advance(1.5)
    newer = make_job('job-1', groups=8)
    items = [
        msgspec.structs.replace(each, id=ItemId(f'new-{each.id}'))
        for each in newer.items
    ]
    newer = msgspec.structs.replace(newer, items=items)
    fleet.submit(newer, reader, announced=False)
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    fleet.world.store.added_delay = 0.03
    fleet.clock.advance(5)
    started = [
        item
        for node in fleet.nodes.values()
        for item, _, _ in node.samplers.started
    ]
    unfinished = 12
    assert len(started) > unfinished
    early = started[:unfinished]
    assert not any(item.startswith('new') for item in early)
