"""Command ``script/measure slopes``."""

import click
import msgspec

from guavagate.measure.slopes._bus import measure_bus
from guavagate.measure.slopes._fit import Slope
from guavagate.measure.slopes._permits import measure_permits
from guavagate.measure.slopes._runs import measure_runs


def measure_all() -> list[Slope]:
    """Measure and return every slope."""
    return [*measure_runs(), *measure_permits(), *measure_bus()]


@click.command('slopes')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def main(*, as_json: bool) -> None:
    """Measure what one more sample or request costs each role."""
    slopes = measure_all()
    if as_json:
        encoded = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
        click.echo(encoded.decode())
        return
    for one in slopes:
        click.echo(
            f'{one.name:<18} {one.slope:>10.3f} ± {one.error:.3f} {one.unit}'
            f' (base {one.base:.1f}; sizes'
            f' {", ".join(f"{size:g}" for size in one.sizes)})'
        )
