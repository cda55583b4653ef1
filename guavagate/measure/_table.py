"""Format results as Markdown tables with a verdict on each aim."""

from collections.abc import Sequence

from guavagate.measure._patterns import Aim, Pattern
from guavagate.measure._record import mean
from guavagate.measure._runs import Result


def render(pattern: Pattern, results: Sequence[Result]) -> str:
    """Return a table of the shown figures with a row for each policy."""
    figures = list_shown_figures(pattern)
    lines = [
        _format_row(['policy', *figures]),
        _format_row(['---'] * (len(figures) + 1)),
    ]
    for result in results:
        cells = [_format_cell(result.values(figure)) for figure in figures]
        lines.append(_format_row([result.policy, *cells]))
    verdicts = [format_verdict(aim, results[0]) for aim in pattern.aims]
    return '\n'.join([*lines, '', *verdicts]).rstrip()


def render_all(pattern: Pattern, results: Sequence[Result]) -> str:
    """Return a table of all figures with a column for each policy."""
    policies = [result.policy for result in results]
    lines = [
        _format_row(['figure', *policies]),
        _format_row(['---'] * (len(policies) + 1)),
    ]
    for figure in results[0].runs[0]:
        cells = [_format_cell(result.values(figure)) for result in results]
        lines.append(_format_row([figure, *cells]))
    verdicts = [format_verdict(aim, results[0]) for aim in pattern.aims]
    return '\n'.join([*lines, '', *verdicts]).rstrip()


def list_shown_figures(pattern: Pattern) -> list[str]:
    """Return the shown figures of a pattern, those with an aim first."""
    aims = [aim.figure for aim in pattern.aims]
    return aims + [name for name in pattern.shown if name not in aims]


def format_verdict(aim: Aim, result: Result) -> str:
    """Return whether an aim is met and for how many seeds."""
    values = result.values(aim.figure)
    met = sum(aim.is_met(value) for value in values)
    verdict = 'missed'
    if met == len(values):
        verdict = 'met'
    elif aim.is_met(mean(values)):
        verdict = 'met on the mean'
    return (
        f'Aim {aim.describe()}: {verdict}, '
        f'{met} of {len(values)} seeds, mean {mean(values):.4g}.'
    )


def _format_cell(values: list[float]) -> str:
    """Format the mean, with the range if there are several seeds."""
    if len(values) == 1:
        return f'{values[0]:.4g}'
    return f'{mean(values):.4g} ({min(values):.3g}–{max(values):.3g})'


def _format_row(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'
