"""Command line that runs a fleet in the foreground until SIGINT."""

import json
import signal
import tempfile
from pathlib import Path

import click
import gevent
from gevent.event import Event

from standins.fleet import Fleet, load_plan


@click.command()
@click.option(
    '--instances', type=click.IntRange(1, 200), help='number of instances'
)
@click.option(
    '--settings',
    type=click.Path(path_type=Path),
    default=Path('examples/authority.toml'),
    show_default=True,
    help='fleet file',
)
@click.option(
    '--seed', default=1, show_default=True, help='seed of the stand-ins'
)
@click.option(
    '--folder',
    type=click.Path(path_type=Path),
    help='for settings, logs and the history; a new temporary one by default',
)
def main(
    instances: int | None, settings: Path, seed: int, folder: Path | None
) -> None:
    """Run instances and stand-ins until SIGINT.

    Prints a description of the fleet as JSON once all instances are ready.
    """
    plan = load_plan(settings)
    work_folder = folder or Path(tempfile.mkdtemp(prefix='guavagate-fleet-'))
    fleet = Fleet(plan, work_folder, seed)
    stopped = Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(signal_number, stopped.set)
    try:
        fleet.start(instances or plan.instances)
        click.echo(json.dumps(fleet.describe()))
        stopped.wait()
    finally:
        fleet.stop()


main()
