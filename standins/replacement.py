"""Replaces a whole fleet under load and counts what was cut."""

import json
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from guavagate.measure.history import BrokeOff, read_history
from standins.demo._demo import Demo, Schedule
from standins.fleet import Fleet, FleetPlan, load_plan

# A start and a stop of each instance; the next one begins when both are done.
SECONDS_EACH = 8.0


@click.command()
@click.option(
    '--settings',
    type=click.Path(path_type=Path),
    default=Path('examples/authority.toml'),
    show_default=True,
    help='fleet file',
)
@click.option('--instances', default=7, show_default=True, help='how many')
@click.option('--seed', default=1, show_default=True, help='of stand-ins')
@click.option('--json', 'as_json', is_flag=True, help='print JSON')
def main(settings: Path, instances: int, seed: int, *, as_json: bool) -> None:
    """Replace every instance, one after the other, under load.

    Each gets a successor first and is then stopped as planned. Callers give
    up nothing by themselves, so each exchange that breaks off was cut. Exit 1
    when one was, or a promise is broken.
    """
    folder = Path(tempfile.mkdtemp(prefix='guavagate-replacement-'))
    fleet = Fleet(make_patient(load_plan(settings)), folder, seed)
    try:
        demo = Demo(fleet, SECONDS_EACH * instances)
        summary = demo.run(instances, list_acts(instances))
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
        shown = ' '.join(f'{name}={count}' for name, count in figures.items())
        click.echo(f'replacement: {shown}')
    sys.exit(1 if cut or not summary.has_passed() else 0)


def make_patient(plan: FleetPlan) -> FleetPlan:
    """Return a plan whose callers break off nothing by themselves."""
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


def list_acts(instances: int) -> Schedule:
    """Return a start and a stop for each instance, as shares of the time."""
    acts = []
    for number in range(instances):
        acts.append(((number + 0.05) / instances, 'start'))
        acts.append(((number + 0.25) / instances, 'stop'))
    return acts
