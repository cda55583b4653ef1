"""``python -m standins.fleet``: a fleet in the foreground until SIGINT."""

import json
import signal
import tempfile
from pathlib import Path

import click
import gevent
from gevent.event import Event

from standins.fleet import Fleet, load_plan


@click.command()
@click.option('--instances', type=click.IntRange(1, 200), help='how many')
@click.option(
    '--settings',
    type=click.Path(path_type=Path),
    default=Path('examples/authority.toml'),
    show_default=True,
    help='fleet file',
)
@click.option('--seed', default=1, show_default=True, help='of stand-ins')
@click.option(
    '--folder',
    type=click.Path(path_type=Path),
    help='for settings, logs and the history; a new temporary one by default',
)
def main(
    instances: int | None, settings: Path, seed: int, folder: Path | None
) -> None:
    """Run instances and stand-ins until SIGINT; describe them first."""
    plan = load_plan(settings)
    place = folder or Path(tempfile.mkdtemp(prefix='guavagate-fleet-'))
    fleet = Fleet(plan, place, seed)
    stopped = Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    try:
        fleet.start(instances or plan.instances)
        click.echo(json.dumps(fleet.describe()))
        stopped.wait()
    finally:
        fleet.stop()


main()
