"""Replaces every instance of a fleet under load and counts cut exchanges."""

import json
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from guavagate.measure.history import BrokeOff, read_history
from standins.demo._demo import Demo, Schedule
from standins.fleet import Fleet, FleetPlan, load_plan

# Covers the start of the successor and the stop of the old instance; the next
# replacement begins once both are done.
SECONDS_PER_INSTANCE = 8.0


@click.command()
@click.option(
    '--settings',
    type=click.Path(path_type=Path),
    default=Path('examples/authority.toml'),
    show_default=True,
    help='fleet file',
)
@click.option(
    '--instances', default=7, show_default=True, help='number of instances'
)
@click.option(
    '--seed', default=1, show_default=True, help='seed of the stand-ins'
)
@click.option('--json', 'as_json', is_flag=True, help='print JSON')
def main(settings: Path, instances: int, seed: int, *, as_json: bool) -> None:
    """Replace every instance, one after the other, under load.

    A successor of each instance starts first, then the instance stops
    gracefully. Callers never abandon a request, so every exchange that breaks
    off was cut by the replacement. Exits with 1 if an exchange was cut or a
    guarantee is violated.
    """
    folder = Path(tempfile.mkdtemp(prefix='guavagate-replacement-'))
    fleet = Fleet(disable_impatience(load_plan(settings)), folder, seed)
    try:
        demo = Demo(fleet, SECONDS_PER_INSTANCE * instances)
        summary = demo.run(instances, make_schedule(instances))
    finally:
        fleet.stop()
    events = read_history(*fleet.history.glob('*.jsonl'))
    cut = sum(isinstance(event, BrokeOff) for event in events)
    figures = {
        'replaced': instances,
        'requests': summary.requests,
        'answered_once': summary.answered_once,
        'refused': summary.refused,
        'unknown': summary.unknown,
        'cut': cut,
        'samples': summary.samples,
        'delivered_once': summary.delivered_once,
        'broken': len(summary.problems),
    }
    if as_json:
        click.echo(json.dumps(figures))
    else:
        text = ' '.join(f'{name}={count}' for name, count in figures.items())
        click.echo(f'replacement: {text}')
    sys.exit(1 if cut or not summary.has_passed() else 0)


def disable_impatience(plan: FleetPlan) -> FleetPlan:
    """Return a plan whose callers never abandon a request."""
    teams = tuple(
        msgspec.structs.replace(
            team,
            callers=tuple(
                msgspec.structs.replace(caller, impatience=0)
                for caller in team.callers
            ),
        )
        for team in plan.teams
    )
    return msgspec.structs.replace(plan, teams=teams)


def make_schedule(instances: int) -> Schedule:
    """Return the times of each start and stop as shares of the duration."""
    actions = []
    for number in range(instances):
        actions.append(((number + 0.05) / instances, 'start'))
        actions.append(((number + 0.25) / instances, 'stop'))
    return actions
