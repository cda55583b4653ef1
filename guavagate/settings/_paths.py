"""Settings under paths, such as ``authority/deployments/consent-llm/weights``.

The first part names the team. Each further part is a key of a table, or the id
of an item in a list.
"""

import tomllib
from typing import Any

import tomli_w

from guavagate.exceptions import SettingsError
from guavagate.models import TeamId
from guavagate.settings._check import find_nearest


def split_path(path: str) -> tuple[TeamId, tuple[str, ...]]:
    """Return the team and the remaining parts of a path."""
    team, *parts = [part for part in path.split('/') if part] or ['']
    if not team:
        raise SettingsError(
            f'the path {path!r} names no team',
            'write TEAM/KEY/..., such as authority/deployments',
        )
    return TeamId(team), tuple(parts)


def find_value(toml: str, parts: tuple[str, ...]) -> Any:
    """Return the value at a path in a team's settings text.

    Raises
    ------
    SettingsError
        The path does not exist; the remedy lists the known names.
    """
    value: Any = tomllib.loads(toml)
    for part in parts:
        value = _descend(value, part)
    return value


def replace_value(toml: str, parts: tuple[str, ...], value: Any) -> str:
    """Return the text with the value at a path replaced.

    Comments are lost, because the whole text is rendered again.

    Raises
    ------
    SettingsError
        The path does not exist; only its last key may be new.
    """
    if not parts:
        raise SettingsError(
            'the path names a whole team',
            'use `guavagate settings apply` for whole texts',
        )
    plain = tomllib.loads(toml)
    parent: Any = plain
    for part in parts[:-1]:
        parent = _descend(parent, part)
    if not isinstance(parent, dict):
        raise SettingsError(
            f'{parts[-1]!r} is an item of a list, not a key',
            'name a key of it, or apply the whole text',
        )
    parent[parts[-1]] = value
    return tomli_w.dumps(plain)


def parse_value(text: str) -> Any:
    """Return the value of a TOML expression, or the text itself."""
    try:
        return tomllib.loads(f'value = {text}')['value']
    except tomllib.TOMLDecodeError:
        return text


def _descend(value: Any, part: str) -> Any:
    known = _list_children(value)
    if part in known:
        return known[part]
    suggestion = find_nearest(part, set(known))
    hint = (
        f'did you mean {suggestion!r}?'
        if suggestion
        else _describe_known(known)
    )
    raise SettingsError(f'there is no {part!r} on this path', hint)


def _list_children(value: Any) -> dict[str, Any]:
    if isinstance(value, dict):
        return value
    if isinstance(value, list):
        return {
            str(item['id']): item
            for item in value
            if isinstance(item, dict) and 'id' in item
        }
    return {}


def _describe_known(known: dict[str, Any]) -> str:
    if not known:
        return 'the path ends before it'
    names = ', '.join(sorted(known))
    return f'known here: {names}'
