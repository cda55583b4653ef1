"""Prints shell variables for a running fleet, for ``script/fleet-env``.

The argument is a file with the first output line of ``script/fleet``. The
variables have the address of an instance, the tokens of a caller and a trainer,
the operators' command with its settings, and the id and process id of the last
instance, which is not among the endpoints of that command.
"""

import json
import pathlib
import shlex
import sys
import time
from typing import Any, Final

import click

WAIT_SECONDS: Final = 60.0
_POLL_SECONDS: Final = 0.2


@click.command()
@click.argument('file', type=click.Path(path_type=pathlib.Path))
def main(file: pathlib.Path) -> None:
    """Print the variables once the fleet's description is written."""
    until = time.monotonic() + WAIT_SECONDS
    while not (file.exists() and file.read_text().endswith('\n')):
        if time.monotonic() > until:
            raise click.ClickException(
                f'{file} is empty; see the output of script/fleet'
            )
        time.sleep(_POLL_SECONDS)
    for name, text in _make_variables(json.loads(file.read_text())).items():
        click.echo(f'export {name}={shlex.quote(text)}')


def _make_variables(description: dict[str, Any]) -> dict[str, str]:
    instances = [
        each
        for each in description['processes']
        if each['role'] == 'guavagated'
    ]
    tokens = next(iter(description['tokens'].values()))
    folder = pathlib.Path(description['folder'])
    token_file = folder / 'operator-token'
    token_file.write_text(description['fleet_operator_token'])
    addresses = [each['addresses']['http'] for each in instances]
    endpoints = [f'http://{address}' for address in addresses[:-1]]
    config = folder / 'cli.toml'
    config.write_text(
        f'endpoints = {json.dumps(endpoints)}\n'
        f'token_file = {json.dumps(str(token_file))}\n'
    )
    return {
        'ENTRY': f'http://{addresses[0]}',
        'CALLER': tokens['members'],
        'TRAINER': tokens['plan-batches'],
        'LAST': instances[-1]['id'],
        'LAST_PID': str(instances[-1]['pid']),
        'GUAVAGATE': f'{sys.executable} -m guavagate.cli --config {config}',
    }


main()
