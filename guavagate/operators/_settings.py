"""Resources for the settings of teams."""

from typing import Final

import falcon
import msgspec

from guavagate.exceptions import RefusalError
from guavagate.models import Revision, TeamId
from guavagate.operators._answers import diff_texts, write_json
from guavagate.operators._base import OperatorServices, handle_errors
from guavagate.settings import (
    Change,
    ChangeRequest,
    InstanceStatus,
    SettingsRecord,
    parse_team_settings,
    settings_path,
)
from guavagate.web import decode_body, read_body

_MAX_BODY_BYTES: Final = 1_000_000


class SettingsPut(msgspec.Struct, frozen=True, kw_only=True):
    """A change of settings, as an operator sends it."""

    toml: str
    base: Revision
    why: str
    change_id: str = ''


class SettingsCheck(msgspec.Struct, frozen=True, kw_only=True):
    """A settings text to check without applying it."""

    toml: str


class SettingsRollback(msgspec.Struct, frozen=True, kw_only=True):
    """A request to put the text of an earlier revision in force again."""

    to: Revision
    base: Revision
    why: str
    change_id: str = ''


class SettingsBody(msgspec.Struct, frozen=True, kw_only=True):
    """One revision of a team's settings."""

    team: TeamId
    toml: str
    change: Change


class HistoryBody(msgspec.Struct, frozen=True, kw_only=True):
    """The stored changes, newest first."""

    team: TeamId
    changes: tuple[Change, ...]


class DiffBody(msgspec.Struct, frozen=True, kw_only=True):
    """The unified diff of two revisions."""

    team: TeamId
    old: Revision
    new: Revision
    diff: str


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """The revision on each instance; `everywhere` considers live ones only."""

    team: TeamId
    newest: Revision
    everywhere: bool
    instances: tuple[InstanceStatus, ...]


class TeamBody(msgspec.Struct, frozen=True, kw_only=True):
    """A team and its newest change."""

    team: TeamId
    change: Change


class TeamsResource:
    """The teams whose settings the operator may read."""

    def __init__(self, services: OperatorServices) -> None:
        self._services = services

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """List the teams with their newest changes."""
        identity = self._services.identify(request)
        write_json(
            response,
            [
                TeamBody(team=record.team, change=record.change)
                for record in self._services.teams.table.records()
                if identity.can_access_team(record.team)
            ],
        )


class _TeamResource:
    def __init__(self, services: OperatorServices) -> None:
        self._services = services

    def _authorize(
        self, request: falcon.Request, team: str
    ) -> tuple[TeamId, str]:
        """Return the team and the operator's name, or raise a refusal."""
        identity = self._services.identify(request)
        identity.require_team(TeamId(team))
        return TeamId(team), identity.caller

    def _read_current(self, team: TeamId) -> SettingsRecord:
        record = self._services.teams.table.record(team)
        if record is None:
            raise RefusalError(
                f'no settings of the team {team!r} are in force',
                'apply some with `guavagate settings apply`, base 0',
                reason='not_found',
                status=404,
            )
        return record

    def _read_revision(
        self, team: TeamId, revision: int | None
    ) -> SettingsRecord:
        if revision is None:
            return self._read_current(team)
        writer = self._services.teams.writer
        return writer.read_revision(team, Revision(revision))


class TeamResource(_TeamResource):
    """A team's settings."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return the settings in force, or those of the query's `revision`."""
        team_id, _ = self._authorize(request, team)
        record = self._read_revision(
            team_id, request.get_param_as_int('revision')
        )
        write_json(response, _make_body(record))

    @handle_errors
    def on_put(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Change the settings; once accepted, they are in force."""
        team_id, operator = self._authorize(request, team)
        body = decode_body(read_body(request, _MAX_BODY_BYTES), SettingsPut)
        record = self._services.teams.change(
            ChangeRequest(
                team=team_id,
                toml=body.toml,
                base=body.base,
                who=operator,
                why=body.why,
                change_id=body.change_id,
            )
        )
        write_json(response, _make_body(record))


class CheckResource(_TeamResource):
    """Checks a settings text without applying it."""

    @handle_errors
    def on_post(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return the diff to the settings in force, or all problems."""
        team_id, _ = self._authorize(request, team)
        text = decode_body(
            read_body(request, _MAX_BODY_BYTES), SettingsCheck
        ).toml
        parse_team_settings(text, settings_path(team_id))
        record = self._services.teams.table.record(team_id)
        revision = record.revision if record else Revision(0)
        old_text = record.toml if record else ''
        write_json(
            response,
            DiffBody(
                team=team_id,
                old=revision,
                new=Revision(revision + 1),
                diff=diff_texts(old_text, text, f'revision {revision}', 'new'),
            ),
        )


class DiffResource(_TeamResource):
    """Compares two revisions."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return the diff from `old`, by default the one before `new`."""
        team_id, _ = self._authorize(request, team)
        new = self._read_revision(team_id, request.get_param_as_int('new'))
        old_revision = request.get_param_as_int('old', default=new.revision - 1)
        old_text = (
            self._read_revision(team_id, old_revision).toml
            if old_revision > 0
            else ''
        )
        write_json(
            response,
            DiffBody(
                team=team_id,
                old=Revision(old_revision),
                new=new.revision,
                diff=diff_texts(
                    old_text,
                    new.toml,
                    f'revision {old_revision}',
                    f'revision {new.revision}',
                ),
            ),
        )


class HistoryResource(_TeamResource):
    """Who changed the settings, when and why."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return the stored changes, newest first."""
        team_id, _ = self._authorize(request, team)
        record = self._read_current(team_id)
        changes = (record.change, *record.earlier)
        write_json(response, HistoryBody(team=team_id, changes=changes))


class RollbackResource(_TeamResource):
    """Puts the text of an earlier revision in force as a new revision."""

    @handle_errors
    def on_post(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Roll back to the revision in the body."""
        team_id, operator = self._authorize(request, team)
        body = decode_body(
            read_body(request, _MAX_BODY_BYTES), SettingsRollback
        )
        target = self._read_revision(team_id, body.to)
        record = self._services.teams.change(
            ChangeRequest(
                team=team_id,
                toml=target.toml,
                base=body.base,
                who=operator,
                why=f'back to revision {body.to}: {body.why}',
                change_id=body.change_id,
            )
        )
        write_json(response, _make_body(record))


class StatusResource(_TeamResource):
    """The revision in force on each instance."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return the revisions, and why instances lag behind."""
        team_id, _ = self._authorize(request, team)
        instances = self._services.teams.status(team_id)
        revisions = [each.revision for each in instances]
        newest = max(each for each in revisions if each is not None)
        if not newest:
            self._read_current(team_id)
        write_json(
            response,
            StatusBody(
                team=team_id,
                newest=newest,
                everywhere=all(
                    each.revision == newest for each in instances if each.alive
                ),
                instances=tuple(instances),
            ),
        )


def _make_body(record: SettingsRecord) -> SettingsBody:
    return SettingsBody(
        team=record.team, toml=record.toml, change=record.change
    )
