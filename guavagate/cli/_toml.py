"""Checks, searches and edits settings texts before they are sent."""

import re
from typing import Any, Final

import tomli_w

from guavagate.cli._errors import ExitCode, ToolError, to_tool_error
from guavagate.exceptions import SettingsError
from guavagate.models import TeamId
from guavagate.operators import SettingsBody
from guavagate.settings import (
    find_value,
    parse_team_settings,
    replace_value,
    split_path,
)

_HEADER: Final = re.compile(r'^# guavagate: team (\S+), revision (\d+)$', re.M)


def check(text: str, source: str) -> TeamId:
    """Check a settings text and return its team."""
    try:
        return parse_team_settings(text, source).team
    except SettingsError as error:
        raise to_tool_error(error) from error


def find_base(text: str, team: TeamId) -> int:
    """Return the base revision named in the header of a text."""
    match = _HEADER.search(text)
    if match is not None and match[1] == team:
        return int(match[2])
    raise ToolError(
        'the file does not say which revision it was made from\nstart from'
        f' `guavagate settings get {team}`, or give --base (0 for a new team)',
        ExitCode.INVALID,
    )


def render_team(body: SettingsBody) -> str:
    """Return a team's text, with a header that names its revision."""
    head = f'# guavagate: team {body.team}, revision {body.change.revision}\n'
    return head + _HEADER.sub('', body.toml).lstrip('\n')


def split(path: str) -> tuple[TeamId, tuple[str, ...]]:
    """Return the team and the remaining parts of a path."""
    try:
        return split_path(path)
    except SettingsError as error:
        raise to_tool_error(error) from error


def find(toml: str, parts: tuple[str, ...]) -> Any:
    """Return the value at a path; exit with an error if there is none."""
    try:
        return find_value(toml, parts)
    except SettingsError as error:
        raise to_tool_error(error, ExitCode.NOT_FOUND) from error


def find_or_none(toml: str, parts: tuple[str, ...]) -> Any:
    """Return the value at a path, or None."""
    try:
        return find_value(toml, parts)
    except SettingsError:
        return None


def replace(toml: str, parts: tuple[str, ...], value: Any) -> str:
    """Return a text with the value at a path replaced."""
    try:
        return replace_value(toml, parts, value)
    except SettingsError as error:
        raise to_tool_error(error) from error


def render(value: Any) -> str:
    """Return a value as TOML."""
    if isinstance(value, dict):
        return tomli_w.dumps(value).rstrip()
    return tomli_w.dumps({'value': value}).partition('= ')[2].rstrip()
