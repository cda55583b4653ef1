"""Endpoints and token of the tool, from options, environment and file."""

import pathlib
from typing import Annotated, Final

import click
import msgspec

from guavagate.cli._client import Client
from guavagate.cli._errors import ExitCode, ToolError, to_tool_error
from guavagate.exceptions import SettingsError
from guavagate.settings import ValueKind, describe, parse_settings

DEFAULT_CONFIG: Final = '~/.config/guavagate/cli.toml'


class CliSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The tool's own TOML file."""

    endpoints: Annotated[
        tuple[Annotated[str, describe('Base URL', ValueKind.URL)], ...],
        describe('Instances, tried in this order'),
    ] = ()
    token_file: Annotated[str, describe('File that holds the token')] = ''


class Context(msgspec.Struct, kw_only=True):
    """The global options of the command line and the environment."""

    endpoints: tuple[str, ...]
    token: str
    token_file: str
    config: str

    def connect(self) -> Client:
        """Return a client for the endpoints.

        Raises
        ------
        ToolError
            No endpoint or token is given, or the file is invalid.
        """
        settings = _load_config(self.config)
        endpoints = self.endpoints or settings.endpoints
        if not endpoints:
            raise ToolError(
                'no instance is given\nuse --endpoint, GUAVAGATE_ENDPOINTS or'
                f' `endpoints` in {self.config}',
                ExitCode.UNAVAILABLE,
            )
        return Client(tuple(_add_scheme(endpoints)), self._find_token(settings))

    def _find_token(self, settings: CliSettings) -> str:
        file = self.token_file or settings.token_file
        if self.token or not file:
            return self.token or _raise_no_token(self.config)
        try:
            token = pathlib.Path(file).expanduser().read_text('utf-8').strip()
        except (OSError, UnicodeDecodeError) as error:
            raise ToolError(
                f'the token file cannot be read: {error}\ngive a readable one',
                ExitCode.REFUSED,
            ) from error
        return token or _raise_no_token(self.config)


def get_client() -> Client:
    """Return the client for the current command."""
    context: Context = click.get_current_context().obj
    return context.connect()


def _load_config(path: str) -> CliSettings:
    file = pathlib.Path(path).expanduser()
    if path == DEFAULT_CONFIG and not file.exists():
        return CliSettings()
    try:
        text = file.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ToolError(
            f'{path}: {error}\ngive a readable TOML file with --config',
            ExitCode.INVALID,
        ) from error
    try:
        return parse_settings(text, CliSettings, path)
    except SettingsError as error:
        raise to_tool_error(error) from error


def _add_scheme(endpoints: tuple[str, ...]) -> list[str]:
    return [one if '://' in one else f'http://{one}' for one in endpoints]


def _raise_no_token(config: str) -> str:
    raise ToolError(
        'no token is given\nset GUAVAGATE_TOKEN, or `token_file` in'
        f' {config}; `guavagate token` makes one',
        ExitCode.REFUSED,
    )
