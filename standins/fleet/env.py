"""``python -m standins.fleet.env FILE``: variables for a fleet that runs.

`FILE` holds the first line of ``script/fleet``. For a shell to evaluate: where
an instance listens, the tokens of a caller and a trainer, the operators' tool
with its settings, and the process id of an instance that is not asked.
"""

import json
import pathlib
import shlex
import sys
import time
from typing import Any, Final

import click

WAIT_SECONDS: Final = 60.0
_STEP: Final = 0.2


@click.command()
@click.argument('file', type=click.Path(path_type=pathlib.Path))
def main(file: pathlib.Path) -> None:
    """Print the variables once the fleet has described itself."""
    until = time.monotonic() + WAIT_SECONDS
    while not (file.exists() and file.read_text().endswith('\n')):
        if time.monotonic() > until:
            raise click.ClickException(
                f'{file} holds no line; see what script/fleet has printed'
            )
        time.sleep(_STEP)
    for name, text in _collect(json.loads(file.read_text())).items():
        click.echo(f'export {name}={shlex.quote(text)}')


def _collect(described: dict[str, Any]) -> dict[str, str]:
    instances = [
        each for each in described['processes'] if each['role'] == 'guavagated'
    ]
    tokens = next(iter(described['tokens'].values()))
    folder = pathlib.Path(described['folder'])
    token_file = folder / 'operator-token'
    token_file.write_text(described['fleet_operator_token'])
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
