"""Settings under paths, one subtree for each team."""

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

_MAX_BODY: Final = 1_000_000


class SettingsPut(msgspec.Struct, frozen=True, kw_only=True):
    """A change that an operator sends."""

    toml: str
    base: Revision
    why: str
    change_id: str = ''


class SettingsCheck(msgspec.Struct, frozen=True, kw_only=True):
    """A text to be checked and not applied."""

    toml: str


class SettingsRollback(msgspec.Struct, frozen=True, kw_only=True):
    """A wish to have an earlier revision's text in force again."""

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
    """The changes that are kept, newest first."""

    team: TeamId
    changes: tuple[Change, ...]


class DiffBody(msgspec.Struct, frozen=True, kw_only=True):
    """The difference between two revisions, as a unified diff."""

    team: TeamId
    old: Revision
    new: Revision
    diff: str


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """The revision in force on each instance; `everywhere` among the alive."""

    team: TeamId
    newest: Revision
    everywhere: bool
    instances: tuple[InstanceStatus, ...]


class TeamBody(msgspec.Struct, frozen=True, kw_only=True):
    """A team and its newest change."""

    team: TeamId
    change: Change


class TeamsResource:
    """The teams whose settings the operator may see."""

    def __init__(self, parts: OperatorServices) -> None:
        self._parts = parts

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """List them."""
        identity = self._parts.identify(request)
        write_json(
            response,
            [
                TeamBody(team=record.team, change=record.change)
                for record in self._parts.teams.table.records()
                if identity.can_access_team(record.team)
            ],
        )


class _TeamResource:
    def __init__(self, parts: OperatorServices) -> None:
        self._parts = parts

    def _enter(self, request: falcon.Request, team: str) -> tuple[TeamId, str]:
        """Return the team and the operator's name, or refuse."""
        identity = self._parts.identify(request)
        identity.require_team(TeamId(team))
        return TeamId(team), identity.caller

    def _in_force(self, team: TeamId) -> SettingsRecord:
        record = self._parts.teams.table.record(team)
        if record is None:
            raise RefusalError(
                f'no settings of the team {team!r} are in force',
                'apply some with `guavagate settings apply`, base 0',
                reason='not_found',
                status=404,
            )
        return record

    def _past(self, team: TeamId, revision: int | None) -> SettingsRecord:
        if revision is None:
            return self._in_force(team)
        writer = self._parts.teams.writer
        return writer.read_revision(team, Revision(revision))


class TeamResource(_TeamResource):
    """A team's settings."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return those in force, or of `revision`."""
        known, _ = self._enter(request, team)
        record = self._past(known, request.get_param_as_int('revision'))
        write_json(response, _show(record))

    @handle_errors
    def on_put(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Change them; accepted is in force."""
        known, who = self._enter(request, team)
        body = decode_body(read_body(request, _MAX_BODY), SettingsPut)
        record = self._parts.teams.change(
            ChangeRequest(
                team=known,
                toml=body.toml,
                base=body.base,
                who=who,
                why=body.why,
                change_id=body.change_id,
            )
        )
        write_json(response, _show(record))


class CheckResource(_TeamResource):
    """Checks a text without applying it."""

    @handle_errors
    def on_post(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return the difference to what is in force, or every problem."""
        known, _ = self._enter(request, team)
        text = decode_body(read_body(request, _MAX_BODY), SettingsCheck).toml
        parse_team_settings(text, settings_path(known))
        record = self._parts.teams.table.record(known)
        revision = record.revision if record else Revision(0)
        old = record.toml if record else ''
        write_json(
            response,
            DiffBody(
                team=known,
                old=revision,
                new=Revision(revision + 1),
                diff=diff_texts(old, text, f'revision {revision}', 'new'),
            ),
        )


class DiffResource(_TeamResource):
    """Compares two revisions."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return what changed from `old` (the one before) to `new`."""
        known, _ = self._enter(request, team)
        new = self._past(known, request.get_param_as_int('new'))
        before = request.get_param_as_int('old', default=new.revision - 1)
        text = self._past(known, before).toml if before > 0 else ''
        write_json(
            response,
            DiffBody(
                team=known,
                old=Revision(before),
                new=new.revision,
                diff=diff_texts(
                    text,
                    new.toml,
                    f'revision {before}',
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
        """Return the changes that are kept, newest first."""
        known, _ = self._enter(request, team)
        record = self._in_force(known)
        changes = (record.change, *record.earlier)
        write_json(response, HistoryBody(team=known, changes=changes))


class RollbackResource(_TeamResource):
    """Puts an earlier revision's text in force, as a new revision."""

    @handle_errors
    def on_post(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Roll back."""
        known, who = self._enter(request, team)
        body = decode_body(read_body(request, _MAX_BODY), SettingsRollback)
        past = self._past(known, body.to)
        record = self._parts.teams.change(
            ChangeRequest(
                team=known,
                toml=past.toml,
                base=body.base,
                who=who,
                why=f'back to revision {body.to}: {body.why}',
                change_id=body.change_id,
            )
        )
        write_json(response, _show(record))


class StatusResource(_TeamResource):
    """The revision in force on each instance."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, team: str
    ) -> None:
        """Return it, and who lags why."""
        known, _ = self._enter(request, team)
        instances = self._parts.teams.status(known)
        revisions = [one.revision for one in instances]
        newest = max(found for found in revisions if found is not None)
        if not newest:
            self._in_force(known)
        write_json(
            response,
            StatusBody(
                team=known,
                newest=newest,
                everywhere=all(
                    one.revision == newest for one in instances if one.alive
                ),
                instances=tuple(instances),
            ),
        )


def _show(record: SettingsRecord) -> SettingsBody:
    return SettingsBody(
        team=record.team, toml=record.toml, change=record.change
    )
