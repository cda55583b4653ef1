"""Jobs that the entry announces to the owner and to its successor."""

import msgspec
import pytest

from guavagate.jobs import JobId
from guavagate.jobs._announcements import (
    MAX_AGE_SECONDS,
    MAX_JOB_BYTES,
    MAX_STORED_BYTES,
)
from guavagate.jobs._messages import JobAnnounced
from guavagate.jobs._models import Job
from guavagate.models import InstanceId, ServiceId
from tests.jobs.fleet import JobFleet, check_complete, make_job
from tests.jobs.samplers import SERVICE

_COMPLETION_SECONDS = 20


@pytest.fixture
def fleet() -> JobFleet:
    """Return three instances whose owner gets nothing from its watch."""
    fleet = JobFleet(length=40)
    fleet.clock.advance(1)
    owner = fleet.nodes[fleet.owner()].owner
    owner._job_mirror.stop()
    owner._end_mirror.stop()
    return fleet


def _find_entry(fleet: JobFleet) -> str:
    """Return the instance that is neither owner nor first successor."""
    node = fleet.nodes[fleet.owner()]
    return str(node.ownership.list_in_turn(SERVICE)[2])


def _find_successor(fleet: JobFleet) -> str:
    node = fleet.nodes[fleet.owner()]
    return str(node.ownership.list_in_turn(SERVICE)[1])


def _count_started(fleet: JobFleet) -> int:
    return sum(len(each.samplers.started) for each in fleet.nodes.values())


def _end(fleet: JobFleet, name: str, job: str = 'job-1') -> None:
    node = fleet.nodes[name]
    task = node.clock.spawn(node.intake.end, JobId(job), 2.5)
    fleet.clock.run_until(task.ready, 5)


def test_owner_cut_off_from_the_store_starts_an_announced_job(
    fleet: JobFleet,
) -> None:
    """The owner's watch is broken, and the next list of all jobs takes 4 s.

    The entry accepted the job. Its items must run at once, not seconds later.
    """
    fleet.submit(make_job(), _find_entry(fleet))
    fleet.clock.advance(0.2)
    assert _count_started(fleet) == 6


def test_owner_needs_no_store_call_for_an_announced_job(
    fleet: JobFleet,
) -> None:
    """Each call of an owner that is cut off goes through a peer, and is slow.

    The announcement contains the stored job, so its items run without a call.
    """
    entry = fleet.nodes[_find_entry(fleet)]
    owner = fleet.nodes[fleet.owner()]
    fleet.world.store.outage = True
    entry.intake.announce(fleet.stamp(make_job()))
    fleet.clock.advance(0.15)
    assert len(owner.samplers.started) == 6


def test_accepting_does_not_wait_for_the_announcement(
    fleet: JobFleet,
) -> None:
    """The trainer's answer must not depend on the owner's connection."""
    entry = fleet.nodes[_find_entry(fleet)]
    sleep = entry.clock.sleep
    entry.intake._bus.send = lambda *_: sleep(5)  # type: ignore[method-assign]
    task = entry.clock.spawn(entry.intake.accept, make_job(), 2.5)
    fleet.clock.advance(0.1)
    assert task.ready()


def test_announced_end_stops_the_items_of_an_owner_without_a_watch(
    fleet: JobFleet,
) -> None:
    """Otherwise the items of an ended job take slots from the next step."""
    entry = _find_entry(fleet)
    fleet.submit(make_job(), entry)
    fleet.clock.advance(0.2)
    _end(fleet, entry)
    fleet.clock.advance(0.1)
    owner = fleet.nodes[fleet.owner()]
    assert len(owner.samplers.started) == 6
    made = sum(owner.samplers.generated.values())
    fleet.clock.advance(1)
    assert sum(owner.samplers.generated.values()) == made


def test_lost_announcement_leaves_the_job_to_the_watch() -> None:
    """Nothing confirms announcements; the watch brings every job."""
    fleet = JobFleet()
    entry, owner = _find_entry(fleet), fleet.owner()
    fleet.world.network.blocked.add((InstanceId(entry), InstanceId(owner)))
    fleet.submit(make_job(), entry)
    fleet.world.network.blocked.clear()
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, entry, 6)


def test_doubled_announcements_run_a_job_once() -> None:
    """Announcements arrive twice, and the watch reports the job as well."""
    fleet = JobFleet()
    fleet.world.network.duplicates = 1
    fleet.submit(make_job(), _find_entry(fleet))
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    assert _count_started(fleet) == 6


def test_announcement_after_the_end_starts_nothing(fleet: JobFleet) -> None:
    """The announcement is delayed, and the job is ended before it arrives.

    Its items must not run. This is true at the owner, and at a successor that
    takes over afterwards.
    """
    entry = fleet.nodes[_find_entry(fleet)]
    successor = _find_successor(fleet)
    job = fleet.stamp(make_job())
    task = entry.clock.spawn(entry.job_store.accept, job, 2.5)
    fleet.clock.run_until(task.ready, 5)
    _end(fleet, _find_entry(fleet))
    fleet.clock.advance(0.1)
    entry.intake.announce(job)
    fleet.clock.advance(0.5)
    assert not fleet.nodes[successor].announced.list_jobs(SERVICE)
    fleet.world.kill(fleet.owner())
    fleet.clock.advance(5)
    assert not _count_started(fleet)


def test_announcement_of_an_expired_job_is_ignored(fleet: JobFleet) -> None:
    """It was in transit until the job was removed from the store.

    Its items would run again, and their results would stay in the store.
    """
    job = fleet.stamp(make_job())
    fleet.clock.advance(200)
    fleet.nodes[_find_entry(fleet)].intake.announce(job)
    fleet.clock.advance(2)
    assert not _count_started(fleet)


def test_announced_job_of_another_service_does_not_run(
    fleet: JobFleet,
) -> None:
    """An instance may own one service and be a successor for another."""
    job = msgspec.structs.replace(make_job(), service=ServiceId('other'))
    fleet.nodes[_find_entry(fleet)].intake.announce(fleet.stamp(job))
    fleet.clock.advance(2)
    assert not _count_started(fleet)


def test_announcement_to_a_wrong_owner_does_no_harm() -> None:
    """The entry's membership is behind, so others get its announcements.

    They store them and run nothing; the watch brings the job to the owner.
    """
    fleet = JobFleet()
    entry = fleet.nodes[_find_entry(fleet)]
    wrong = [InstanceId(_find_successor(fleet)), entry.intake._me]
    entry.ownership.list_in_turn = lambda _: wrong  # type: ignore[method-assign, assignment]
    fleet.submit(make_job(), _find_entry(fleet))
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    assert _count_started(fleet) == 6


def _make_large_job(name: str, size: int) -> Job:
    job = make_job(name, groups=1, size=1)
    item = msgspec.structs.replace(job.items[0], body=b'b' * size)
    return msgspec.structs.replace(job, items=[item])


def test_job_in_several_parts_is_left_to_the_watch(fleet: JobFleet) -> None:
    """A frame of megabytes would delay the heartbeats on its connection."""
    job = _make_large_job('job-1', MAX_JOB_BYTES)
    fleet.nodes[_find_entry(fleet)].intake.announce(job)
    fleet.clock.advance(0.1)
    assert not fleet.world.network.messages[JobAnnounced.__name__]


def test_successor_starts_announced_jobs_without_the_store() -> None:
    """The owner is killed while the store is unavailable.

    The successor can not list the jobs, but it got the announcement of the one
    that has just been accepted. Its items must not wait for the store. Results
    that were committed meanwhile are found once it is back.
    """
    fleet = JobFleet(length=40)
    first, entry = fleet.owner(), _find_entry(fleet)
    fleet.submit(make_job(), entry)
    fleet.clock.advance(0.1)
    fleet.world.store.outage = True
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    fleet.clock.advance(4)
    assert _count_started(fleet) == 6
    fleet.world.store.outage = False
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, entry, 6)


def test_results_of_the_former_owner_end_the_runs_of_its_successor() -> None:
    """The successor knows an announced job, but not what is committed.

    It reads that before the jobs run, so no item of them runs twice.
    """
    fleet = JobFleet()
    first, entry = fleet.owner(), _find_entry(fleet)
    fleet.submit(make_job(), entry)
    fleet.clock.advance(2)
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    fleet.clock.advance(4)
    check_complete(fleet, entry, 6)
    assert not _count_started(fleet)


def test_stored_announcements_are_bounded_in_size_and_age(
    fleet: JobFleet,
) -> None:
    """A successor never takes over in most cases, and stores them in vain."""
    announced = fleet.nodes[_find_successor(fleet)].announced
    for number in range(40):
        announced.put(_make_large_job(f'job-{number}', 500_000))
    stored = announced.list_jobs(SERVICE)
    size = sum(len(each.job.items[0].body) for each in stored)
    assert 0 < size <= MAX_STORED_BYTES
    assert stored[-1].job.id == 'job-39'
    fleet.clock.advance(MAX_AGE_SECONDS + 1)
    assert not announced.list_jobs(SERVICE)
