"""Prints answers as tables or JSON."""

from collections.abc import Sequence
from typing import Any, Final

import click
import msgspec

_COLUMN_GAP: Final = '  '

as_json: Final = click.option(
    '--json', 'as_json', is_flag=True, help='Print the whole answer as JSON.'
)


def print_json(body: Any) -> None:
    """Print a typed answer as JSON, indented."""
    content = msgspec.json.format(msgspec.json.encode(body), indent=2)
    click.echo(content.decode())


def print_table(
    heads: Sequence[str], rows: Sequence[Sequence[object]], empty: str
) -> None:
    """Print aligned columns, or the text `empty` if there are no rows."""
    if not rows:
        click.echo(empty)
        return
    cells = [[str(cell) for cell in row] for row in rows]
    lines = [list(heads), *cells]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(heads))
    ]
    for line in lines:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        click.echo(_COLUMN_GAP.join(padded).rstrip())


def print_missing(missing: dict[Any, str]) -> None:
    """Print to standard error which instances gave no answer."""
    for instance in sorted(missing):
        click.echo(
            f'incomplete: {instance} gave no answer ({missing[instance]})',
            err=True,
        )
