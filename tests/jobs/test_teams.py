"""Jobs of teams: who may see, send again and end them."""

import msgspec
import pytest

from guavagate.jobs import Job, JobConflictError, LookupStatus
from guavagate.models import TeamId
from tests.jobs.fleet import JobFleet, find_other, make_job
from tests.jobs.samplers import SERVICE

_BLUE, _RED = TeamId('blue'), TeamId('red')


class _OldJob(msgspec.Struct, frozen=True, kw_only=True):
    """What a release that knows no teams reads of a record."""

    id: str
    fingerprint: str


def _look(fleet: JobFleet, at: str, team: TeamId) -> set[LookupStatus]:
    """Return what a team's caller finds of a job at an instance."""
    node = fleet.nodes[at]
    job = make_job().id
    item = make_job().items[0].id
    asked = [
        node.clock.spawn(node.reader.read, [SERVICE], job, 0, 0, team),
        node.clock.spawn(node.reader.read_item, [SERVICE], job, item, team),
        node.clock.spawn(node.reader.exists, [SERVICE], job, team),
    ]
    fleet.clock.run_until(lambda: all(each.ready() for each in asked), 5)
    page, body, known = (each.get(block=False) for each in asked)
    return {page[0], body[0], known}


def test_job_of_another_team_is_missing() -> None:
    """Also for an id that exists; a key of the team itself finds all."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    fleet.clock.advance(3)
    for name in fleet.nodes:
        assert _look(fleet, name, _RED) == {LookupStatus.MISSING}
        assert _look(fleet, name, _BLUE) == {LookupStatus.FOUND}


def test_job_of_another_team_is_missing_without_the_owner() -> None:
    """Whoever is asked then reads the store itself."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    fleet.clock.advance(3)
    other = find_other(fleet)
    fleet.world.kill(fleet.owner())
    assert _look(fleet, other, _RED) == {LookupStatus.MISSING}
    assert _look(fleet, other, _BLUE) == {LookupStatus.FOUND}


def test_id_used_by_another_team_is_refused() -> None:
    """Neither may the other's job be accepted as its own, word for word."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    assert not fleet.submit(make_job(team=_BLUE), 'b')
    with pytest.raises(JobConflictError):
        fleet.submit(make_job(team=_RED), 'b')


def test_record_of_a_release_without_teams_is_open_to_all() -> None:
    """It was accepted, and must be read and ended all the same."""
    record = msgspec.json.decode(msgspec.json.encode(make_job()))
    record.pop('team')
    job = msgspec.convert(record, Job)
    assert job.is_accessible_to(_RED)
    assert job.is_accessible_to(_BLUE)


def test_a_release_without_teams_reads_new_records() -> None:
    """Both run side by side while a fleet is replaced."""
    record = msgspec.json.encode(make_job(team=_BLUE))
    assert msgspec.json.decode(record, type=_OldJob).id == 'job-1'
    assert msgspec.json.decode(record, type=Job).team == _BLUE


def test_run_names_the_team_of_its_job() -> None:
    """Samplers are told whose request it is, at each run."""
    fleet = JobFleet()
    fleet.submit(make_job(team=_BLUE), 'a')
    fleet.clock.advance(3)
    runs = [
        each for node in fleet.nodes.values() for each in node.samplers.requests
    ]
    assert {each.team for each in runs} == {_BLUE}
