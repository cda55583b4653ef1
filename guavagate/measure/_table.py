"""Results as tables, with each aim judged."""

from collections.abc import Sequence

from guavagate.measure._patterns import Aim, Pattern
from guavagate.measure._record import mean
from guavagate.measure._runs import Result


def render(pattern: Pattern, results: Sequence[Result]) -> str:
    """Return a pattern's Markdown table: a row for each policy."""
    figures = shown_figures(pattern)
    lines = [
        _row(['policy', *figures]),
        _row(['---'] * (len(figures) + 1)),
    ]
    for result in results:
        cells = [_cell(result.values(figure)) for figure in figures]
        lines.append(_row([result.policy, *cells]))
    verdicts = [judge(aim, results[0]) for aim in pattern.aims]
    return '\n'.join([*lines, '', *verdicts]).rstrip()


def render_all(pattern: Pattern, results: Sequence[Result]) -> str:
    """Return all figures: a row for each figure, a column for each policy."""
    policies = [result.policy for result in results]
    lines = [_row(['figure', *policies]), _row(['---'] * (len(policies) + 1))]
    for figure in results[0].runs[0]:
        cells = [_cell(result.values(figure)) for result in results]
        lines.append(_row([figure, *cells]))
    verdicts = [judge(aim, results[0]) for aim in pattern.aims]
    return '\n'.join([*lines, '', *verdicts]).rstrip()


def shown_figures(pattern: Pattern) -> list[str]:
    """Return a pattern's figures, those with an aim first."""
    aims = [aim.figure for aim in pattern.aims]
    return aims + [name for name in pattern.shown if name not in aims]


def judge(aim: Aim, result: Result) -> str:
    """Return whether an aim is met, in how many of the seeds."""
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


def _cell(values: list[float]) -> str:
    """Return the mean, and the range over several seeds."""
    if len(values) == 1:
        return f'{values[0]:.4g}'
    return f'{mean(values):.4g} ({min(values):.3g}–{max(values):.3g})'


def _row(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'
