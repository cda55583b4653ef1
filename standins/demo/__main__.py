"""Command line of the demo, run by ``script/demo``."""

import sys
import tempfile
from pathlib import Path

import click

from standins.demo._demo import DEMO_SCHEDULE, FAULT_SCHEDULE, Demo
from standins.demo._verdict import Summary
from standins.fleet import Fleet, load_plan

_MAX_SHOWN = 20


@click.command()
@click.option(
    '--settings',
    type=click.Path(path_type=Path),
    default=Path('examples/authority.toml'),
    show_default=True,
    help='fleet file',
)
@click.option(
    '--seconds', default=30.0, show_default=True, help='duration of the load'
)
@click.option(
    '--faults', is_flag=True, help='upstreams and the store fail as well'
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
    settings: Path,
    seconds: float,
    seed: int,
    folder: Path | None,
    *,
    faults: bool,
) -> None:
    """Run callers and trainers against a fleet that loses instances.

    One instance is killed and one is stopped; both are replaced. Every
    guarantee is checked against what callers, trainers and upstreams recorded;
    exits with 1 if one is violated. With --faults an instance is also paused,
    upstreams crash, stall and cut streams, and the store is down and loses
    answers.
    """
    plan = load_plan(settings)
    work_folder = folder or Path(tempfile.mkdtemp(prefix='guavagate-demo-'))
    click.echo(f'settings {settings}; logs and history in {work_folder}')
    fleet = Fleet(plan, work_folder, seed)
    try:
        schedule = FAULT_SCHEDULE if faults else DEMO_SCHEDULE
        demo = Demo(fleet, seconds)
        summary = demo.run(plan.instances, schedule)
    finally:
        fleet.stop()
    _show(summary)
    sys.exit(0 if summary.has_passed() else 1)


def _show(summary: Summary) -> None:
    """Print the table, the violations and the last line."""
    rows = {
        'requests': summary.requests,
        '  attempts': summary.attempts,
        '  answered once': summary.answered_once,
        '  refused, not run': summary.refused,
        '  outcome unknown': summary.unknown,
        'steps complete': summary.steps,
        '  samples': summary.samples,
        '  delivered once': summary.delivered_once,
        'versions published': summary.versions,
        'stale samples': summary.stale,
        'lost': summary.lost,
        'doubled': summary.doubled,
        'broken promises': len(summary.problems),
    }
    click.echo()
    for name, number in rows.items():
        click.echo(f'{name:<22}{number:>8}')
    for problem in summary.problems[:_MAX_SHOWN]:
        click.echo(f'broken: {problem[:300]}')
    click.echo(summary.last_line)


main()
