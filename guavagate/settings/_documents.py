"""Parses, checks and renders settings as TOML."""

import pathlib
import tomllib
from typing import Any, Final, TypeVar

import msgspec
import tomli_w
from msgspec import inspect as inspected

from guavagate.exceptions import SettingsError
from guavagate.settings._check import (
    Checker,
    SettingsProblemsError,
    check_unique,
)
from guavagate.settings._schema import InstanceSettings, TeamSettings

MAX_SETTINGS_BYTES: Final = 512_000

_Schema = TypeVar('_Schema', bound=msgspec.Struct)


def load_instance_settings(path: str | pathlib.Path) -> InstanceSettings:
    """Return an instance's settings from its TOML file.

    Raises
    ------
    SettingsProblemsError
        Lists every problem, each with file, path, value and remedy.
    """
    source = str(path)
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{source}: {error}',
            'give the path of a readable TOML file in UTF-8',
        ) from error
    return parse_instance_settings(text, source)


def parse_instance_settings(
    text: str, source: str = 'settings'
) -> InstanceSettings:
    """Return an instance's settings from TOML.

    See `load_instance_settings`.
    """
    checker = Checker(source)
    settings = _convert(text, InstanceSettings, checker)
    _check_instance(settings, checker)
    _raise_problems(checker)
    return settings


def parse_team_settings(text: str, source: str = 'settings') -> TeamSettings:
    """Return a team's settings from TOML.

    Parameters
    ----------
    source
        File or path to name in each problem.

    Raises
    ------
    SettingsProblemsError
        Lists every problem, each with file, path, value and remedy.
    """
    checker = Checker(source)
    settings = _convert(text, TeamSettings, checker)
    _check_team(settings, checker)
    _raise_problems(checker)
    return settings


def parse_settings(
    text: str, schema: type[_Schema], source: str = 'settings'
) -> _Schema:
    """Return settings of any schema from TOML.

    Raises what `parse_team_settings` raises, but checks neither references nor
    duplicates.
    """
    return _convert(text, schema, Checker(source))


def render_settings(settings: InstanceSettings | TeamSettings) -> str:
    """Return the settings as TOML."""
    return tomli_w.dumps(msgspec.to_builtins(settings))


def _convert(text: str, schema: type[_Schema], checker: Checker) -> _Schema:
    plain = _parse_toml(text, checker)
    checker.check(inspected.type_info(schema), plain, '')
    _raise_problems(checker)
    return msgspec.convert(plain, schema)


def _parse_toml(text: str, checker: Checker) -> dict[str, Any]:
    if len(text.encode()) > MAX_SETTINGS_BYTES:
        checker.add(
            '',
            None,
            f'is larger than {MAX_SETTINGS_BYTES} bytes',
            'split it between teams',
        )
        _raise_problems(checker)
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        checker.add('', None, f'is not TOML: {error}', 'mend that line')
        raise SettingsProblemsError(checker.problems) from error


def _raise_problems(checker: Checker) -> None:
    if checker.problems:
        raise SettingsProblemsError(checker.problems)


def _check_instance(settings: InstanceSettings, checker: Checker) -> None:
    check_unique(checker, settings.peers, 'peers', _id, 'id')
    check_unique(checker, settings.operators, 'operators', _id, 'id')
    check_unique(checker, settings.operators, 'operators', _hash, 'token_hash')
    check_unique(
        checker,
        settings.peers,
        'peers',
        lambda peer: peer.peer_address,
        'peer_address',
    )
    if settings.http_address == settings.peer_address:
        checker.add(
            'peer_address',
            settings.peer_address,
            'is the same as http_address',
            'give it a port of its own',
        )


def _check_team(settings: TeamSettings, checker: Checker) -> None:
    check_unique(checker, settings.callers, 'callers', _id, 'id')
    check_unique(checker, settings.callers, 'callers', _hash, 'token_hash')
    check_unique(checker, settings.deployments, 'deployments', _id, 'id')
    check_unique(checker, settings.services, 'services', _id, 'id')
    samplers: dict[str, str] = {}
    runs: dict[str, str] = {}
    for index, deployment in enumerate(settings.deployments):
        path = f'deployments[{index}]'
        for position, sampler in enumerate(deployment.samplers):
            item_path = f'{path}.samplers[{position}]'
            _check_not_seen(checker, samplers, sampler.id, f'{item_path}.id')
            _check_not_seen(
                checker, samplers, sampler.address, f'{item_path}.address'
            )
        for position, run in enumerate(deployment.runs):
            _check_not_seen(
                checker, runs, run.id, f'{path}.runs[{position}].id'
            )
        _check_scoring(settings, index, checker)
    for index, service in enumerate(settings.services):
        path = f'services[{index}].upstreams'
        check_unique(checker, service.upstreams, path, _id, 'id')
        check_unique(checker, service.upstreams, path, _address, 'address')


def _check_not_seen(
    checker: Checker, seen: dict[str, str], value: str, path: str
) -> None:
    first = seen.setdefault(value, path)
    if first != path:
        checker.add(
            path, value, f'is the same as {first}', 'make each one unique'
        )


def _check_scoring(
    settings: TeamSettings, index: int, checker: Checker
) -> None:
    wanted = settings.deployments[index].scoring_service
    known = [service.id for service in settings.services]
    if wanted and wanted not in known:
        checker.add(
            f'deployments[{index}].scoring_service',
            wanted,
            'names no service of this team',
            'declare it under services, or name one of {}'.format(
                ', '.join(known) or 'them'
            ),
        )


def _id(item: Any) -> str:
    return str(item.id)


def _hash(item: Any) -> str:
    return str(item.token_hash)


def _address(item: Any) -> str:
    return str(item.address)
