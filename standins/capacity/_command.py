"""Command line of ``script/measure capacity``."""

import json
import subprocess
import sys
from typing import Any, Final

import click
import gevent
import psutil

from standins.capacity._figures import (
    BUDGETS,
    NODES,
    Row,
    describe,
    make_row,
    measure_memory,
)
from standins.capacity._fleets import (
    DaemonFleet,
    MeasuredFleet,
    MembershipFleet,
    wait_until_converged,
)

_FLEETS: Final[dict[str, type[MeasuredFleet]]] = {
    'daemon': DaemonFleet,
    'parts': MembershipFleet,
}
_CONVERGENCE_SECONDS: Final = 60.0
_MAX_MEMORY_SHARE: Final = 0.5
# Gossip about the start of each node continues for about this time.
_GOSSIP_SECONDS_PER_NODE: Final = 0.5


def measure_size(
    fleet: MeasuredFleet, nodes: int, settle: float, seconds: float
) -> Row:
    """Measure a fleet of one size."""
    try:
        fleet.start(nodes)
        if not wait_until_converged(fleet, _CONVERGENCE_SECONDS):
            raise click.ClickException(
                f'{nodes} nodes do not all see each other'
            )
        gevent.sleep(settle + nodes * _GOSSIP_SECONDS_PER_NODE)
        first = fleet.read()
        gevent.sleep(seconds)
        last = fleet.read()
        memory = measure_memory(fleet.pids)
    finally:
        fleet.stop()
    return make_row(nodes, first, last, memory - measure_bare(fleet.module))


def measure_bare(module: str) -> float:
    """Return the memory of a process that has imported a module, in bytes."""
    program = f'import {module}, sys; print(flush=True); sys.stdin.readline()'
    bare = subprocess.Popen(
        [sys.executable, '-c', program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    with bare:
        assert bare.stdout is not None
        bare.stdout.readline()
        return measure_memory([bare.pid])


def measure(
    program: str, sizes: list[int], settle: float, seconds: float
) -> dict[str, Any]:
    """Measure all sizes and fit a line to each figure."""
    rows = []
    for nodes in sizes:
        if psutil.virtual_memory().percent > 100 * _MAX_MEMORY_SHARE:
            raise click.ClickException('more than half of the memory is in use')
        row = measure_size(_FLEETS[program](), nodes, settle, seconds)
        click.echo(_format_row(row), err=True)
        rows.append(row)
    return {'program': program, **describe(rows)}


def _format_row(row: Row) -> str:
    return (
        f'{row.nodes:>5} {row.cpu_percent:>8.3f} {row.memory_mb:>8.2f}'
        f' {row.messages_per_second:>10.2f}'
        f' {row.kilobytes_per_second:>8.3f}'
        f' {row.store_calls_per_second:>9.3f}'
    )


@click.command()
@click.option(
    '--program',
    type=click.Choice(sorted(_FLEETS)),
    default='daemon',
    show_default=True,
    help='complete instances, or the bus and the membership only',
)
@click.option('--sizes', default='8,16,32,64,128', show_default=True)
@click.option(
    '--settle',
    default=8.0,
    show_default=True,
    help='seconds before the first reading',
)
@click.option(
    '--seconds', default=15.0, show_default=True, help='seconds per size'
)
@click.option('--json', 'as_json', is_flag=True, help='print JSON')
def main(
    program: str, sizes: str, settle: float, seconds: float, *, as_json: bool
) -> None:
    """Measure the control overhead of idle nodes and extrapolate to 330."""
    wanted = [int(size) for size in sizes.split(',')]
    if len(wanted) < 4:
        raise click.UsageError(
            'give at least four sizes; fewer do not fit a line'
        )
    click.echo('nodes    cpu %      MB  messages/s     KB/s  store/s', err=True)
    figures = measure(program, wanted, settle, seconds)
    if as_json:
        click.echo(json.dumps(figures, indent=2))
        return
    for name, line in figures['lines'].items():
        budget = BUDGETS.get(name)
        click.echo(
            f'{name:<24} {line["at_rest"]:.4f} + {line["per_node"]:.6f}'
            f' ± {line["error"]:.6f} a node; at {NODES}:'
            f' {line[f"at_{NODES}"]:.3f} ± {line[f"error_at_{NODES}"]:.3f}'
            + (f' of {budget:g}' if budget else '')
        )
