"""Jobs while their owners die, pause and disagree, and the store fails."""

import msgspec
import pytest

from guavagate.jobs import ItemId, JobId, LookupStatus
from guavagate.jobs._models import job_path
from tests.jobs.fleet import JobFleet, check_complete, find_other, make_job
from tests.jobs.samplers import make_upstream

_LATER = 20


@pytest.fixture
def fleet() -> JobFleet:
    """Three instances before three samplers."""
    return JobFleet()


def test_any_instance_reads_results_committed_by_the_owner(
    fleet: JobFleet,
) -> None:
    """A job accepted at one instance is run by the owner, read anywhere."""
    assert fleet.submit(make_job(), find_other(fleet))
    fleet.clock.advance(_LATER)
    for name in fleet.nodes:
        check_complete(fleet, name, 6)


def test_repeated_submission_is_accepted_once(fleet: JobFleet) -> None:
    """The trainer got no answer and sends its job to another instance.

    The id is taken by the same content, so it is accepted once and its items
    run once.
    """
    fleet.submit(make_job(), 'a')
    assert not fleet.submit(make_job(), 'b')
    fleet.clock.advance(_LATER)
    check_complete(fleet, 'c', 6)


def test_killed_owner_loses_no_job_and_duplicates_no_result(
    fleet: JobFleet,
) -> None:
    """The owner is killed with some results listed.

    The next owner reads the list, runs only what is missing, and positions
    that were read before stay as they were.
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
    fleet.clock.advance(_LATER)
    _, after = fleet.read('job-1', survivor)
    assert after[: len(before)] == before
    check_complete(fleet, survivor, 16)


def test_resumed_owner_commits_nothing_twice(
    fleet: JobFleet,
) -> None:
    """The owner is paused, another finishes its job, then it wakes.

    It still believes in its results and lists them. The number of its next
    chunk is taken; it takes that chunk over and drops its own.
    """
    first = fleet.owner()
    fleet.submit(make_job(), find_other(fleet))
    fleet.clock.advance(0.2)
    fleet.world.pause(first)
    fleet.clock.advance(_LATER)
    fleet.world.resume(first)
    fleet.clock.advance(_LATER)
    for name in fleet.nodes:
        check_complete(fleet, name, 6)


def test_two_concurrent_owners_commit_each_item_once(fleet: JobFleet) -> None:
    """Two instances believe that they own the job and run all its items."""
    fleet.submit(make_job(groups=6), 'a')
    for node in fleet.nodes.values():
        node.ownership.is_owner = lambda _: True  # type: ignore[method-assign, assignment]
        node.owner.start()
    fleet.clock.advance(_LATER)
    for name in fleet.nodes:
        check_complete(fleet, name, 12)


def test_readers_see_only_durable_results(fleet: JobFleet) -> None:
    """The store is down when results are there.

    A reader that saw one of them could lose it with the owner. Nothing is
    listed until the store takes it.
    """
    fleet.submit(make_job(), find_other(fleet))
    fleet.clock.advance(0.1)
    fleet.world.store.outage = True
    fleet.clock.advance(5)
    _, shown = fleet.read('job-1', fleet.owner())
    assert not shown
    fleet.world.store.outage = False
    fleet.clock.advance(_LATER)
    check_complete(fleet, fleet.owner(), 6)


def test_lost_store_answers_duplicate_no_results(fleet: JobFleet) -> None:
    """Half of the writes take effect though their answer is lost."""
    fleet.world.store.lose_answers = 0.5
    assert fleet.submit(make_job(groups=6), 'a')
    fleet.clock.advance(_LATER)
    fleet.world.store.lose_answers = 0
    fleet.clock.advance(_LATER)
    for name in fleet.nodes:
        check_complete(fleet, name, 12)


def test_ended_job_stops_running(fleet: JobFleet) -> None:
    """The trainer ends a job at an instance that does not own it.

    The end goes through the store, so the owner hears of it whatever becomes
    of the instance that took it; items that run are cut, none starts.
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
    made = sum(samplers.made.values())
    fleet.clock.advance(5)
    assert len(samplers.started) == started
    assert sum(samplers.made.values()) == made


def test_missing_job_is_distinguished_from_an_uncertain_one(
    fleet: JobFleet,
) -> None:
    """That there is no such job is said by the store, not by a lagging view."""
    fleet.clock.advance(1)
    assert fleet.read('job-9', 'a')[0] is LookupStatus.MISSING
    fleet.world.store.outage = True
    assert fleet.read('job-9', 'a')[0] is LookupStatus.UNCERTAIN


def test_an_item_moves_from_a_slow_sampler(fleet: JobFleet) -> None:
    """One sampler turns four times as slow with items on it.

    They go on at a faster one that idles; the step is not as slow as the
    slowest sampler.
    """
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.length = 60
    fleet.length = 60
    owner.samplers.pace['x'] = 0.2
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(6)
    check_complete(fleet, 'a', 6)


def test_closed_jobs_are_removed_after_their_retention(
    fleet: JobFleet,
) -> None:
    """Kept for ever, they would fill the store and every owner's memory.

    Within the time that was promised all of it stays.
    """
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(100)
    check_complete(fleet, 'a', 6)
    fleet.clock.advance(100)
    assert not fleet.world.store.objects
    assert fleet.read('job-1', fleet.owner())[0] is LookupStatus.MISSING


def test_events_of_an_older_version_than_registered_are_dropped(
    fleet: JobFleet,
) -> None:
    """It registered version 2 and makes events under version 1.

    The step accepts 2 and newer: what was made under 1 is dropped, and listed
    texts name 2 alone.
    """
    owner = fleet.nodes[fleet.owner()]
    for sampler in 'xyz':
        owner.states.record_version(sampler, 'm0', 2)  # type: ignore[arg-type]
    owner.samplers.versions = {'y': 2, 'z': 2}  # type: ignore[dict-item]
    fleet.submit(make_job(min_version=2), 'a')
    fleet.clock.advance(1)
    owner.samplers.versions['x'] = 2  # type: ignore[assignment]
    fleet.clock.advance(_LATER)
    check_complete(fleet, 'a', 6)
    _, results = fleet.read('job-1', 'a')
    assert {tuple(each.versions) for each in results} == {(2,)}


def test_runs_of_a_restarted_sampler_resume_elsewhere(
    fleet: JobFleet,
) -> None:
    """A sampler crashes behind a cut and starts again under its id.

    Its streams are silent for good. The registration of the new start tells;
    the runs go on at once after their last whole event, not after the time
    that a silent sampler is allowed.
    """
    fleet.length = 40
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.length = 40
    for name in 'xyz':
        owner.upstreams.put(make_upstream(name, incarnation=100))
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(1)
    owner.samplers.silent.add('x')
    fleet.clock.advance(0.6)
    before = len(owner.samplers.started)
    owner.upstreams.put(make_upstream('x', incarnation=200))
    fleet.clock.advance(0.3)
    again = owner.samplers.started[before:]
    assert again
    assert min(after for _, _, after in again) > 0
    owner.samplers.silent.clear()
    fleet.clock.advance(_LATER)
    check_complete(fleet, 'a', 6)


def test_resumed_owner_serves_results_committed_by_others(
    fleet: JobFleet,
) -> None:
    """The owner is frozen with some results listed; then it wakes.

    Meanwhile the next owner lists the rest, readers see it, and the trainer
    ends the job. The woken one is asked again, as the most senior. It has
    nothing left to list, so no chunk that is taken tells it what it missed,
    and positions that were read before would be gone for good.
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
    fleet.clock.advance(_LATER)
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
            known, rest = fleet.read('job-1', name, after)
            assert known is LookupStatus.FOUND
            assert rest
            assert rest == shown[after : after + len(rest)]


def test_owner_clock_set_back_hides_no_results(fleet: JobFleet) -> None:
    """The owner's time of day jumps back by seconds, and its watch breaks.

    A job that others have worked on meanwhile seems to be submitted just now,
    so its list is not read when it is taken in. What was listed must be found
    all the same once it is asked for.
    """
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(_LATER)
    other = fleet.nodes[find_other(fleet)]
    held = other.owner._active_jobs
    held.owning = True
    reading = other.clock.spawn(
        other.job_store.object_store.get, job_path(JobId('job-1'))
    )
    fleet.clock.run_until(reading.ready, 5)
    stored = reading.get(block=False)
    taking = other.clock.spawn(held.load_stored, stored, True)
    fleet.clock.run_until(taking.ready, 5)
    asking = other.clock.spawn(held.read, JobId('job-1'), 0, 0)
    fleet.clock.run_until(asking.ready, 5)
    known, page = asking.get(block=False)
    assert known is LookupStatus.FOUND
    assert len(page.results) == 6


def test_uncertain_owner_does_not_report_missing_results(
    fleet: JobFleet,
) -> None:
    """An owner is in doubt, the store is slow, and two readers ask at once.

    Neither is told that there is nothing while the look-up is on its way: an
    owner that does not know has the store asked. It knows soon after.
    """
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(_LATER)
    owner = fleet.nodes[fleet.owner()]
    held = owner.owner._active_jobs
    job = held.get(JobId('job-1'))
    assert job is not None
    job.work.log = owner.job_store.open_log(JobId('job-1'))
    held.mark_uncertain()
    fleet.world.store.slow = 0.35
    asking = [
        owner.clock.spawn(held.read, JobId('job-1'), 5, 0) for _ in range(2)
    ]
    fleet.clock.run_until(lambda: all(each.ready() for each in asking), 5)
    assert {each.get(block=False)[0] for each in asking} == {
        LookupStatus.UNCERTAIN
    }
    fleet.clock.advance(1)
    fleet.world.store.slow = 0
    known, page = held.read(JobId('job-1'), 5, 0)
    assert known is LookupStatus.FOUND
    assert page is not None
    assert len(page.results) == 1


def test_reader_is_served_when_an_outage_delays_reconciliation(
    fleet: JobFleet,
) -> None:
    """The members change during an outage, and readers wait for results.

    What comes to be listed as the store is back reaches them at once; they do
    not wait behind a look-up that the outage holds up.
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
    known, page = reading.get(block=False)
    assert known is LookupStatus.FOUND
    assert page is not None
    assert page.results


def test_new_owner_starts_with_the_oldest_step(fleet: JobFleet) -> None:
    """The owner is killed with one step nearly whole and a new one just sent.

    The next owner reads the new step first. Were it to begin at once, the new
    step would take every slot, and the last items of the old one, which its
    trainer waits for, would be made after them.
    """
    fleet.length = 40
    for node in fleet.nodes.values():
        node.samplers.length = 40
    first = fleet.owner()
    reader = find_other(fleet)
    fleet.submit(make_job('job-9', groups=8), reader)
    fleet.clock.advance(1.5)
    newer = make_job('job-1', groups=8)
    items = [
        msgspec.structs.replace(each, id=ItemId(f'new-{each.id}'))
        for each in newer.items
    ]
    fleet.submit(msgspec.structs.replace(newer, items=items), reader)
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    fleet.world.store.slow = 0.03
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
