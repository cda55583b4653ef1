"""The tool's commands."""

from importlib import metadata
from typing import Final

import click

from guavagate.auth import hash_token, make_token
from guavagate.cli._context import DEFAULT_CONFIG, Context
from guavagate.cli._fleet import (
    deployments,
    drain,
    explain,
    instances,
    runs,
    samplers,
)
from guavagate.cli._report import report
from guavagate.cli._settings import settings
from guavagate.cli._usage import usage
from guavagate.cli._zones import zones

_EPILOG: Final = """\b
Exit codes:
  0  done
  1  stopped by Ctrl-C
  2  the command line is wrong
  3  the settings are not acceptable
  4  another operator changed the settings first
  5  the store may or may not have taken the change
  6  neither an instance nor the store gave an answer
  7  the token is missing, unknown or not allowed to do this
  8  there is nothing under that name
  9  some instance lags behind

\b
Shell completion, for bash (zsh and fish alike):
  eval "$(_GUAVAGATE_COMPLETE=bash_source guavagate)"
"""


@click.group(
    'guavagate',
    epilog=_EPILOG,
    context_settings={
        'help_option_names': ['-h', '--help'],
        'max_content_width': 80,
    },
)
@click.option(
    '--endpoint',
    'endpoints',
    multiple=True,
    envvar='GUAVAGATE_ENDPOINTS',
    metavar='URL',
    help='An instance or the balancer; may be repeated. In the environment,'
    ' separate them by spaces.',
)
@click.option(
    '--token',
    envvar='GUAVAGATE_TOKEN',
    default='',
    help='Bearer token. Others on the machine see it in the list of'
    ' processes: prefer the variable or a file.',
)
@click.option(
    '--token-file',
    envvar='GUAVAGATE_TOKEN_FILE',
    default='',
    metavar='FILE',
    help='File that holds the bearer token.',
)
@click.option(
    '--config',
    envvar='GUAVAGATE_CONFIG',
    default=DEFAULT_CONFIG,
    show_default=True,
    metavar='FILE',
    help='TOML file with `endpoints` and `token_file`.',
)
@click.pass_context
def main(
    context: click.Context,
    endpoints: tuple[str, ...],
    token: str,
    token_file: str,
    config: str,
) -> None:
    """Operate guavagate: settings, status, explanations and planned stops."""
    context.obj = Context(
        endpoints=endpoints, token=token, token_file=token_file, config=config
    )


main.add_command(settings)
main.add_command(deployments)
main.add_command(samplers)
main.add_command(instances)
main.add_command(runs)
main.add_command(drain)
main.add_command(explain)
main.add_command(report)
main.add_command(usage)
main.add_command(zones)


@main.command()
def version() -> None:
    """Print the release of this tool."""
    try:
        release = metadata.version('guavagate')
    except metadata.PackageNotFoundError:
        release = 'not installed, run from its sources'
    click.echo(f'guavagate {release}')


@main.command()
def token() -> None:
    """Make a token, and the hash that settings hold in its place.

    The token is shown this once and stored nowhere: give it to the caller,
    and write the hash as `token_hash` into the team's settings.
    """
    made = make_token()
    click.echo(f'token       {made}')
    click.echo(f'token_hash  {hash_token(made)}')
