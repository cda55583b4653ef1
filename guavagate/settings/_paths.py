"""Settings under paths, such as ``authority/deployments/consent-llm/weights``.

The first part is the team; each further one is a key, or the id of an item of
a list.
"""

import tomllib
from typing import Any

import tomli_w

from guavagate.exceptions import SettingsError
from guavagate.models import TeamId
from guavagate.settings._check import find_nearest


def split_path(path: str) -> tuple[TeamId, tuple[str, ...]]:
    """Return the team and the parts below it."""
    team, *parts = [part for part in path.split('/') if part] or ['']
    if not team:
        raise SettingsError(
            f'the path {path!r} names no team',
            'write TEAM/KEY/..., such as authority/deployments',
        )
    return TeamId(team), tuple(parts)


def find_value(toml: str, parts: tuple[str, ...]) -> Any:
    """Return the value under a path of a team's text.

    Raises
    ------
    SettingsError
        Nothing is there; the remedy lists what is.
    """
    value: Any = tomllib.loads(toml)
    for part in parts:
        value = _step(value, part)
    return value


def replace_value(toml: str, parts: tuple[str, ...], value: Any) -> str:
    """Return the text with another value under a path.

    Comments are lost: the text is written anew.

    Raises
    ------
    SettingsError
        The path leads nowhere; its last key may be new.
    """
    if not parts:
        raise SettingsError(
            'the path names a whole team',
            'use `guavagate settings apply` for whole texts',
        )
    plain = tomllib.loads(toml)
    holder: Any = plain
    for part in parts[:-1]:
        holder = _step(holder, part)
    if not isinstance(holder, dict):
        raise SettingsError(
            f'{parts[-1]!r} is an item of a list, not a key',
            'name a key of it, or apply the whole text',
        )
    holder[parts[-1]] = value
    return tomli_w.dumps(plain)


def parse_value(text: str) -> Any:
    """Return a value as TOML has it, or the text itself if it is none."""
    try:
        return tomllib.loads(f'value = {text}')['value']
    except tomllib.TOMLDecodeError:
        return text


def _step(value: Any, part: str) -> Any:
    known = _list_parts(value)
    if part in known:
        return known[part]
    near = find_nearest(part, set(known))
    hint = f'did you mean {near!r}?' if near else _tell_known(known)
    raise SettingsError(f'there is no {part!r} on this path', hint)


def _list_parts(value: Any) -> dict[str, Any]:
    if isinstance(value, dict):
        return value
    if isinstance(value, list):
        return {
            str(item['id']): item
            for item in value
            if isinstance(item, dict) and 'id' in item
        }
    return {}


def _tell_known(known: dict[str, Any]) -> str:
    if not known:
        return 'the path ends before it'
    names = ', '.join(sorted(known))
    return f'known here: {names}'
