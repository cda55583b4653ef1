"""Jobs accepted at instances whose clocks are wrong."""

import msgspec

from tests.jobs.fleet import JobFleet, find_other, make_job


def test_entry_clock_set_back_does_not_age_a_new_job() -> None:
    """The clock of the entry is three seconds behind the clock of the owner.

    By these clocks, the step has used half of its time on arrival and would be
    scheduled after steps that were submitted before it.
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
    assert works[0].opened_at >= before
