"""Jobs of teams: who may read, resubmit and end them."""

import msgspec
import pytest

from guavagate.jobs import Job, JobConflictError, LookupStatus
from guavagate.models import TeamId
from tests.jobs.fleet import JobFleet, find_other, make_job
from tests.jobs.samplers import SERVICE

_BLUE, _RED = TeamId('blue'), TeamId('red')


class _OldJob(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a record that a release without teams reads."""

    id: str
    fingerprint: str


def _look_up(fleet: JobFleet, at: str, team: TeamId) -> set[LookupStatus]:
    """Return the look-up statuses that a team's caller gets for a job."""
    node = fleet.nodes[at]
    job = make_job().id
    item = make_job().items[0].id
    lookups = [
        node.clock.spawn(node.reader.read, [SERVICE], job, 0, 0, team),
        node.clock.spawn(node.reader.read_item, [SERVICE], job, item, team),
        node.clock.spawn(node.reader.exists, [SERVICE], job, team),
    ]
    fleet.clock.run_until(lambda: all(each.ready() for each in lookups), 5)
    page, body, known = (each.get(block=False) for each in lookups)
    return {page[0], body[0], known}


def test_job_of_another_team_is_missing() -> None:
    """Other teams do not find the job although its id exists; its own does."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    fleet.clock.advance(3)
    for name in fleet.nodes:
        assert _look_up(fleet, name, _RED) == {LookupStatus.MISSING}
        assert _look_up(fleet, name, _BLUE) == {LookupStatus.FOUND}


def test_job_of_another_team_is_missing_without_the_owner() -> None:
    """Without the owner, an instance reads the store itself."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    fleet.clock.advance(3)
    other = find_other(fleet)
    fleet.world.kill(fleet.owner())
    assert _look_up(fleet, other, _RED) == {LookupStatus.MISSING}
    assert _look_up(fleet, other, _BLUE) == {LookupStatus.FOUND}


def test_id_used_by_another_team_is_refused() -> None:
    """Even identical content is not accepted as the other team's job."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    assert not fleet.submit(make_job(team=_BLUE), 'b')
    with pytest.raises(JobConflictError):
        fleet.submit(make_job(team=_RED), 'b')


def test_record_of_a_release_without_teams_is_open_to_all() -> None:
    """Such a job was accepted and must remain readable and endable."""
    record = msgspec.json.decode(msgspec.json.encode(make_job()))
    record.pop('team')
    job = msgspec.convert(record, Job)
    assert job.is_accessible_to(_RED)
    assert job.is_accessible_to(_BLUE)


def test_a_release_without_teams_reads_new_records() -> None:
    """Both releases run side by side during a rolling update."""
    record = msgspec.json.encode(make_job(team=_BLUE))
    assert msgspec.json.decode(record, type=_OldJob).id == 'job-1'
    assert msgspec.json.decode(record, type=Job).team == _BLUE


def test_run_names_the_team_of_its_job() -> None:
    """Each request to a sampler names the team."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    fleet.clock.advance(3)
    runs = [
        each for node in fleet.nodes.values() for each in node.samplers.requests
    ]
    assert {each.team for each in runs} == {_BLUE}
