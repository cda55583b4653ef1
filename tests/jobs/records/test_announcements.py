"""Jobs that the entry announces to the owner and to its successor."""

from collections.abc import Callable

import msgspec
import pytest

from guavagate.jobs import Job, JobId
from guavagate.jobs._messages import JobAnnounced
from guavagate.jobs.records._announcements import (
    MAX_AGE_SECONDS,
    MAX_JOB_BYTES,
    MAX_STORED_BYTES,
)
from guavagate.models import ServiceId
from tests.jobs.fleet import RoleFleet, make_job
from tests.jobs.samplers import SERVICE


def _make_fleet(length: int = 5) -> RoleFleet:
    return RoleFleet('abc', length)


def _count_started(fleet: RoleFleet) -> int:
    return sum(len(each.samplers.started) for each in fleet.nodes.values())


def _announce(fleet: RoleFleet, job: Job) -> None:
    """Announce a job that the store may not have."""
    fleet.entry.intake.announce(fleet.stamp(job))


def _end(fleet: RoleFleet) -> None:
    intake = fleet.entry.intake
    task = fleet.entry.clock.spawn(intake.end, JobId('job-1'), 2.5)
    fleet.clock.run_until(task.ready, 5)


@pytest.fixture
def fleet() -> RoleFleet:
    """Return a fleet whose owner gets nothing from its watch."""
    fleet = _make_fleet(40)
    fleet.first.owner._loader._job_mirror.stop()
    fleet.first.owner._loader._end_mirror.stop()
    return fleet


def test_owner_cut_off_from_the_store_learns_of_a_job_and_its_end(
    fleet: RoleFleet,
) -> None:
    """Its watch is broken, and the next list of all jobs takes 4 s.

    The announcement contains the stored job, so the items run at once, without
    a call to the store. After their job was ended, they must not take slots
    from the next step.
    """
    fleet.world.store.outage = True
    _announce(fleet, make_job())
    fleet.clock.advance(0.15)
    samplers = fleet.first.samplers
    assert len(samplers.started) == 6
    fleet.world.store.outage = False
    _end(fleet)
    fleet.clock.advance(0.1)
    made = samplers.generated.total()
    fleet.clock.advance(1)
    assert samplers.generated.total() == made


def test_accepting_does_not_wait_for_the_announcement(fleet: RoleFleet) -> None:
    """The trainer's answer must not depend on the owner's connection."""
    entry = fleet.entry
    sleep = entry.clock.sleep
    entry.intake._bus.send = lambda *_: sleep(5)  # type: ignore[method-assign]
    task = entry.clock.spawn(entry.intake.accept, make_job(), 2.5)
    fleet.clock.advance(0.1)
    assert task.ready()


def _lose(fleet: RoleFleet) -> None:
    fleet.cut(fleet.entry, fleet.first)


def _double(fleet: RoleFleet) -> None:
    fleet.world.network.duplicates = 1


def _send_elsewhere(fleet: RoleFleet) -> None:
    names = [each.ownership.me for each in (fleet.successor, fleet.entry)]
    fleet.entry.ownership.list_in_turn = lambda _: names  # type: ignore[method-assign, assignment]


@pytest.mark.parametrize('fault', [_lose, _double, _send_elsewhere])
def test_job_runs_once_whatever_happens_to_its_announcement(
    fault: Callable[[RoleFleet], None],
) -> None:
    """It is lost, doubled, or sent by an entry whose membership is behind.

    Nothing confirms announcements; the watch brings every job as well.
    """
    fleet = _make_fleet()
    fault(fleet)
    fleet.accept(make_job())
    fleet.world.network.blocked.clear()
    fleet.complete()
    assert _count_started(fleet) == 6


def test_announcement_after_the_end_starts_nothing(fleet: RoleFleet) -> None:
    """The announcement is delayed, and the job is ended before it arrives.

    Its items must not run, nor at a successor that takes over afterwards.
    """
    job = fleet.stamp(make_job())
    store = fleet.entry.job_store
    task = fleet.entry.clock.spawn(store.accept, job, 2.5)
    fleet.clock.run_until(task.ready, 5)
    _end(fleet)
    fleet.clock.advance(0.1)
    _announce(fleet, job)
    fleet.clock.advance(0.5)
    assert not fleet.successor.announced.list_jobs(SERVICE)
    fleet.kill_owner()
    fleet.clock.advance(5)
    assert not _count_started(fleet)


def _make_large_job(name: str, size: int) -> Job:
    job = make_job(name, groups=1, size=1)
    item = msgspec.structs.replace(job.items[0], body=b'b' * size)
    return msgspec.structs.replace(job, items=[item])


def test_foreign_expired_and_large_jobs_are_not_started(
    fleet: RoleFleet,
) -> None:
    """An instance may own one service and be a successor for another.

    An expired job was in transit until it was removed from the store. The frame
    of a job in several parts would delay heartbeats on its connection.
    """
    _announce(
        fleet, msgspec.structs.replace(make_job(), service=ServiceId('other'))
    )
    expired = fleet.stamp(make_job('job-2'))
    fleet.clock.advance(200)
    fleet.entry.intake.announce(expired)
    fleet.clock.advance(1)
    sent = fleet.world.network.messages[JobAnnounced.__name__]
    _announce(fleet, _make_large_job('job-3', MAX_JOB_BYTES))
    fleet.clock.advance(2)
    assert fleet.world.network.messages[JobAnnounced.__name__] == sent
    assert not _count_started(fleet)


def test_successor_starts_announced_jobs_without_the_store() -> None:
    """The owner is killed while the store is unavailable.

    The successor can not list the jobs, but it got the announcement of the one
    that has just been accepted. Its items must not wait for the store. Results
    that were committed meanwhile are found once it is back.
    """
    fleet = _make_fleet(40)
    fleet.accept(make_job())
    fleet.clock.advance(0.1)
    fleet.world.store.outage = True
    fleet.kill_owner()
    fleet.clock.advance(4)
    assert len(fleet.successor.samplers.started) == 6
    fleet.world.store.outage = False
    fleet.complete()


def test_stored_announcements_are_bounded_in_size_and_age(
    fleet: RoleFleet,
) -> None:
    """A successor never takes over in most cases, and stores them in vain."""
    announced = fleet.successor.announced
    for number in range(40):
        announced.put(_make_large_job(f'job-{number}', 500_000))
    stored = announced.list_jobs(SERVICE)
    size = sum(len(each.job.items[0].body) for each in stored)
    assert 0 < size <= MAX_STORED_BYTES
    assert stored[-1].job.id == 'job-39'
    fleet.clock.advance(MAX_AGE_SECONDS + 1)
    assert not announced.list_jobs(SERVICE)
