"""``python -m standins.demo``: the main job, judged; exit 1 when broken."""

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
@click.option('--seconds', default=30.0, show_default=True, help='of work')
@click.option('--faults', is_flag=True, help='upstreams and store fail, too')
@click.option('--seed', default=1, show_default=True, help='of stand-ins')
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

    One instance is killed and one is stopped on the way; both are replaced.
    Every promise is judged from what callers, trainers and upstreams
    recorded. Exit 1 when one is broken. With --faults an instance is also
    paused, upstreams crash, stall and cut streams, and the store is down and
    loses answers.
    """
    plan = load_plan(settings)
    place = folder or Path(tempfile.mkdtemp(prefix='guavagate-demo-'))
    click.echo(f'settings {settings}; logs and history in {place}')
    fleet = Fleet(plan, place, seed)
    try:
        acts = FAULT_SCHEDULE if faults else DEMO_SCHEDULE
        demo = Demo(fleet, seconds)
        summary = demo.run(plan.instances, acts)
    finally:
        fleet.stop()
    _show(summary)
    sys.exit(0 if summary.has_passed() else 1)


def _show(summary: Summary) -> None:
    """Print the table, what is broken, and the last line."""
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
