"""Commands that list patterns, measure one, or write the table of all."""

from pathlib import Path
from typing import Final

import click
import msgspec

from guavagate.exceptions import SettingsError
from guavagate.measure import _plot, _table
from guavagate.measure._patterns import PATTERNS, get_pattern
from guavagate.measure._policies import PRODUCT, list_policies
from guavagate.measure._runs import Result, run_all, run_pattern

_BEGIN: Final = '<!-- begin: script/measure decisions -->'
_END: Final = '<!-- end: script/measure decisions -->'
_PAGE: Final = Path('docs/decisions.md')


@click.command('list')
def list_patterns() -> None:
    """List the patterns with their aims, and the policies to compare with."""
    for pattern in PATTERNS.values():
        click.echo(f'{pattern.name:18}{pattern.summary}')
        for aim in pattern.aims:
            click.echo(f'{"":18}aim: {aim.describe()}')
    click.echo(f'policies: {", ".join(list_policies())}')


def make_command(name: str) -> click.Command:
    """Return the command that measures one pattern."""
    pattern = get_pattern(name)

    def run(
        seed: int,
        seeds: int,
        policy: str,
        against: tuple[str, ...],
        as_json: bool,
        plot: Path | None,
    ) -> None:
        results = _run_policies(name, (policy, *against), seed, seeds)
        if plot is not None:
            _plot.draw(pattern, results, plot)
        if as_json:
            click.echo(msgspec.json.encode(results).decode())
        else:
            click.echo(_table.render_all(pattern, results))

    return click.Command(
        name, callback=run, params=_make_options(), help=pattern.summary
    )


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option('--seeds', default=10, help='Number of seeds.')
@click.option('--write', is_flag=True, help=f'Write the tables to {_PAGE}.')
def decisions(seed: int, seeds: int, write: bool) -> None:
    """Measure all patterns and their baselines for docs/decisions.md."""
    policies_by_pattern = {
        name: (PRODUCT, *pattern.baselines)
        for name, pattern in PATTERNS.items()
    }
    results = run_all(policies_by_pattern, tuple(range(seed, seed + seeds)))
    parts = [f'Seeds {seed} to {seed + seeds - 1}: mean (lowest–highest).']
    for name, pattern in PATTERNS.items():
        table = _table.render(pattern, results[name])
        parts.append(f'### {name}\n\n{pattern.summary}\n\n{table}')
    text = '\n\n'.join(parts)
    if write:
        _replace_table(text)
    else:
        click.echo(text)


def _make_options() -> list[click.Parameter]:
    path = click.Path(path_type=Path, dir_okay=False)
    return [
        click.Option(['--seed'], default=1, help='First seed.'),
        click.Option(['--seeds'], default=1, help='Number of seeds.'),
        click.Option(['--policy'], default=PRODUCT, help='Policy to measure.'),
        click.Option(['--against'], multiple=True, help='Policy to compare.'),
        click.Option(['--json', 'as_json'], is_flag=True, help='Print JSON.'),
        click.Option(['--plot'], type=path, help='Write a plot to this file.'),
    ]


def _run_policies(
    name: str, policies: tuple[str, ...], seed: int, seeds: int
) -> list[Result]:
    try:
        return run_pattern(
            get_pattern(name), policies, range(seed, seed + seeds)
        )
    except SettingsError as error:
        raise click.ClickException(str(error)) from None


def _replace_table(text: str) -> None:
    page = _PAGE.read_text()
    head, _, rest = page.partition(_BEGIN)
    _, found, foot = rest.partition(_END)
    if not found:
        raise click.ClickException(
            f'{_PAGE} lacks the markers {_BEGIN} and {_END}; add both'
        )
    _PAGE.write_text(f'{head}{_BEGIN}\n\n{text}\n\n{_END}{foot}')
