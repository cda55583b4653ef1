"""Plot the figures of a pattern."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl

from guavagate.measure._patterns import Pattern
from guavagate.measure._runs import Result
from guavagate.measure._table import list_shown_figures


def draw(pattern: Pattern, results: Sequence[Result], path: Path) -> None:
    """Write a plot with a panel for each figure and a dot for each seed."""
    mpl.use('Agg')
    # Imported here because the backend must be chosen first, and because the
    # import is needed only for plots.
    from matplotlib import pyplot as plt

    figures = list_shown_figures(pattern)
    canvas, panels = plt.subplots(
        1, len(figures), figsize=(4 * len(figures), 4), squeeze=False
    )
    aims = {aim.figure: aim for aim in pattern.aims}
    for panel, figure in zip(panels[0], figures, strict=True):
        for position, result in enumerate(results):
            values = result.values(figure)
            panel.scatter([position] * len(values), values, s=12)
        if figure in aims:
            panel.axhline(aims[figure].limit, linestyle='--', color='grey')
        panel.set_title(figure)
        panel.set_xticks(
            range(len(results)),
            [result.policy for result in results],
            rotation=60,
            ha='right',
        )
    canvas.suptitle(f'{pattern.name}: {pattern.summary}')
    canvas.tight_layout()
    canvas.savefig(path)
    plt.close(canvas)
