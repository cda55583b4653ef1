"""Jobs that come from machines whose clocks are off."""

import msgspec

from tests.jobs.fleet import JobFleet, find_other, make_job


def test_entry_clock_set_back_does_not_age_a_new_job() -> None:
    """The entry's clock shows three seconds less than the owner's.

    By these clocks the step has used up half of its time when it comes; it
    would be put behind steps that were submitted before it.
    """
    fleet = JobFleet()
    owner = fleet.nodes[fleet.owner()]
    before = fleet.clock.now()
    skewed = msgspec.structs.replace(
        make_job(), submitted_at=fleet.clock.wall() - 3
    )
    other = fleet.nodes[find_other(fleet)]
    task = other.clock.spawn(other.job_store.accept, skewed, 2.5)
    fleet.clock.run_until(task.ready, 5)
    fleet.clock.advance(0.1)
    works = owner.owner._active_jobs.list_open()
    assert [work.job.id for work in works] == ['job-1']
    assert works[0].since >= before
