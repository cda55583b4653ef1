"""Commands to read and change settings."""

import datetime
import pathlib
import sys
import uuid
from collections.abc import Callable
from typing import Any, Final, TextIO, TypeVar

import click

from guavagate.cli import _toml as toml
from guavagate.cli._client import AnswerError, Client
from guavagate.cli._context import get_client
from guavagate.cli._errors import ExitCode
from guavagate.cli._output import as_json, print_json, print_table
from guavagate.cli._wait import wait_until_in_force
from guavagate.models import Revision, TeamId
from guavagate.operators import (
    DiffBody,
    HistoryBody,
    SettingsBody,
    SettingsCheck,
    SettingsPut,
    SettingsRollback,
    StatusBody,
    TeamBody,
)
from guavagate.settings import (
    Change,
    parse_value,
)

_Command = TypeVar('_Command', bound=Callable[..., Any])
_SET_ATTEMPTS: Final = 3

_why = click.option(
    '-m', '--why', required=True, help='Reason, shown in the history.'
)
_base = click.option(
    '--base',
    type=int,
    help='Revision that the file was made from, if it does not say; 0 for a'
    ' new team.',
)
_change_id = click.option(
    '--change-id',
    default='',
    help='Repeat a change whose outcome was unsure under its id.',
)
_wait = click.option(
    '--wait',
    type=float,
    default=0,
    metavar='SECONDS',
    help='Wait until one revision is in force on every instance.',
)


def _add_change_options(command: _Command) -> _Command:
    """Add the options that all changes have."""
    return _why(_change_id(command))


@click.group()
def settings() -> None:
    """Read and change teams' settings, one subtree for each team."""


@settings.command('list')
@as_json
def list_teams(as_json: bool) -> None:
    """List the teams that have settings."""
    teams = get_client().get('/settings', list[TeamBody])
    if as_json:
        print_json(teams)
        return
    print_table(
        ('TEAM', 'REVISION', 'WHEN', 'WHO', 'WHY'),
        [(team.team, *_format_change(team.change)) for team in teams],
        'No team has settings; apply some with `guavagate settings apply`.',
    )


@settings.command()
@click.argument('path')
@click.option('--revision', type=int, help='An earlier one that is kept.')
@as_json
def get(path: str, revision: int | None, as_json: bool) -> None:
    """Print the settings under PATH, such as TEAM/deployments/ID.

    A whole team's text starts with a line that names its revision; `apply`
    reads it, and so notices changes made in between.
    """
    team, parts = toml.split(path)
    body = _read(get_client(), team, revision)
    value = toml.find(body.toml, parts)
    if as_json:
        print_json(value if parts else body)
    elif parts:
        click.echo(toml.render(value))
    else:
        click.echo(toml.render_team(body))


@settings.command('set')
@click.argument('path')
@click.argument('value')
@_why
def set_value(path: str, value: str, why: str) -> None:
    """Set the one VALUE under PATH, such as TEAM/weight 2.

    VALUE is written as in TOML; what is none is taken as a text. Comments in
    the team's text are lost. A change of another operator elsewhere in the
    team is no conflict, one under PATH is.
    """
    client = get_client()
    team, parts = toml.split(path)
    body = _read(client, team, None)
    before = toml.find_or_none(body.toml, parts)
    for attempt in range(1, _SET_ATTEMPTS + 1):
        text = toml.replace(body.toml, parts, parse_value(value))
        try:
            accepted = _put(client, team, text, body.change.revision, why, '')
        except AnswerError as error:
            if error.detail.code != 'conflict' or attempt == _SET_ATTEMPTS:
                raise
            body = _read(client, team, None)
            if toml.find_or_none(error.detail.toml, parts) != before:
                raise
            continue
        _print_accepted(accepted)
        return


@settings.command()
@click.argument('file', type=click.File(encoding='utf-8'))
@_add_change_options
@_base
@click.option('--dry-run', is_flag=True, help='Check, and show the change.')
@_wait
def apply(
    file: TextIO,
    why: str,
    base: int | None,
    dry_run: bool,
    wait: float,
    change_id: str,
) -> None:
    """Put the team's settings in FILE (- for standard input) in force."""
    text = file.read()
    team = toml.check(text, file.name)
    client = get_client()
    if dry_run:
        body = SettingsCheck(toml=text)
        path = f'/settings/{team}/check'
        click.echo(client.send('POST', path, body, DiffBody).diff)
        return
    if base is None:
        base = toml.find_base(text, team)
    accepted = _put(client, team, text, Revision(base), why, change_id)
    _print_accepted(accepted)
    if wait:
        wait_until_in_force(client, team, accepted.change.revision, wait)


@settings.command()
@click.argument('team')
@click.argument('file', required=False, type=click.Path(exists=True))
@click.option('--old', type=int, help='Default: the one before the newer.')
@click.option('--new', type=int, help='Default: the one in force.')
@as_json
def diff(
    team: str,
    file: str | None,
    old: int | None,
    new: int | None,
    as_json: bool,
) -> None:
    """Show what changed between revisions, or would change by FILE."""
    client = get_client()
    if file is None:
        body = client.get(f'/settings/{team}/diff', DiffBody, old=old, new=new)
    else:
        text = pathlib.Path(file).read_text('utf-8')
        toml.check(text, file)
        path = f'/settings/{team}/check'
        body = client.send('POST', path, SettingsCheck(toml=text), DiffBody)
    if as_json:
        print_json(body)
    else:
        click.echo(body.diff or 'No difference.')


@settings.command()
@click.argument('team')
@as_json
def history(team: str, as_json: bool) -> None:
    """List who changed the settings, when and why, newest first."""
    body = get_client().get(f'/settings/{team}/history', HistoryBody)
    if as_json:
        print_json(body)
        return
    print_table(
        ('REVISION', 'WHEN', 'WHO', 'WHY'),
        [_format_change(change) for change in body.changes],
        'No change is stored.',
    )


@settings.command()
@click.argument('team')
@_wait
@as_json
def status(team: str, wait: float, as_json: bool) -> None:
    """Show the revision in force on each instance, and who lags why.

    Exits with 9 when some instance lags.
    """
    client = get_client()
    if wait:
        wait_until_in_force(client, TeamId(team), None, wait)
    body = client.get(f'/settings/{team}/status', StatusBody)
    if as_json:
        print_json(body)
    else:
        _print_status(body)
    if not body.everywhere:
        sys.exit(ExitCode.LAGGING)


@settings.command()
@click.argument('team')
@click.argument('revision', type=int)
@_add_change_options
def rollback(team: str, revision: int, why: str, change_id: str) -> None:
    """Put REVISION's text in force again, as a new revision."""
    client = get_client()
    base = _read(client, TeamId(team), None).change.revision
    accepted = client.send(
        'POST',
        f'/settings/{team}/rollback',
        SettingsRollback(
            to=Revision(revision),
            base=base,
            why=why,
            change_id=change_id or uuid.uuid4().hex,
        ),
        SettingsBody,
    )
    _print_accepted(accepted)


def _read(client: Client, team: TeamId, revision: int | None) -> SettingsBody:
    return client.get(f'/settings/{team}', SettingsBody, revision=revision)


def _put(
    client: Client,
    team: TeamId,
    text: str,
    base: Revision,
    why: str,
    change_id: str,
) -> SettingsBody:
    body = SettingsPut(
        toml=text,
        base=base,
        why=why,
        change_id=change_id or uuid.uuid4().hex,
    )
    return client.send('PUT', f'/settings/{team}', body, SettingsBody)


def _format_change(change: Change) -> tuple[str, str, str, str]:
    when = datetime.datetime.fromtimestamp(change.at, datetime.UTC)
    shown = when.strftime('%Y-%m-%dT%H:%M:%SZ')
    return str(change.revision), shown, change.who, change.why


def _print_accepted(body: SettingsBody) -> None:
    click.echo(f'{body.team}: revision {body.change.revision} is accepted.')


def _print_status(body: StatusBody) -> None:
    click.echo(f'{body.team}: newest revision {body.newest}')
    print_table(
        ('INSTANCE', 'REVISION', 'RELAY', 'WHY IT LAGS'),
        [
            (
                one.instance,
                '?' if one.revision is None else one.revision,
                'yes' if one.is_relay else '',
                one.lag,
            )
            for one in body.instances
        ],
        'No instance is known.',
    )
