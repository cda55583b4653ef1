"""``script/measure settings``: time until changed settings apply."""

import logging
from collections.abc import Sequence

import click
import msgspec

from guavagate.measure.settings import PropagationResult, measure_propagation


@click.command()
@click.option(
    '--instances',
    multiple=True,
    default=(9, 64, 330),
    show_default=True,
    help='Number of instances; may be repeated.',
)
@click.option('--changes', default=200, show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--json', 'as_json', is_flag=True)
def settings(
    instances: tuple[int, ...], changes: int, seed: int, *, as_json: bool
) -> None:
    """Measure how soon changed settings apply on all instances."""
    logging.disable(logging.CRITICAL)
    results = [measure_propagation(count, changes, seed) for count in instances]
    if as_json:
        click.echo(msgspec.json.encode(results).decode())
        return
    names = PropagationResult.__struct_fields__
    _echo_row(names)
    _echo_row(['---'] * len(names))
    for result in results:
        _echo_row([f'{getattr(result, name):.4g}' for name in names])


def _echo_row(cells: Sequence[str]) -> None:
    joined = ' | '.join(cells)
    click.echo(f'| {joined} |')
