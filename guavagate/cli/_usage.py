"""Command that shows usage windows from the reporters' logs."""

from typing import Final, TextIO

import click

from guavagate.cli._output import as_json, print_json, print_table
from guavagate.explain.logs import read_lines
from guavagate.explain.usage import UsageWindow, read_windows

_COLUMNS: Final = ('window', 'requests', 'teams', 'outcome', 'after s', 'by')


@click.command()
@click.argument(
    'logs', metavar='LOG...', nargs=-1, required=True, type=click.File('r')
)
@click.option(
    '--due',
    default=10.0,
    show_default=True,
    metavar='SECONDS',
    help='When a report is due after the end of its window.',
)
@as_json
def usage(logs: tuple[TextIO, ...], due: float, as_json: bool) -> None:
    """Show what became of each usage window: by whom, when, what is late.

    LOG are files of log lines of the workers, or - for standard input.
    """
    lines = [line for log in logs for line in read_lines(log.name, log)]
    windows = read_windows(lines)
    if as_json:
        print_json(windows)
        return
    rows = [_make_row(each, due) for each in windows]
    empty = 'no line is about a window; give the logs of all workers'
    print_table(_COLUMNS, rows, empty)


def _make_row(window: UsageWindow, due: float) -> list[object]:
    late = ', late' if window.is_late(due) else ''
    return [
        window.window,
        _format(window.requests),
        _format(window.teams),
        f'{window.outcome}{late}',
        _format(window.after),
        ', '.join(window.holders),
    ]


def _format(figure: float | None) -> object:
    return '-' if figure is None else figure
