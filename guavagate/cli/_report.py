"""Writes an HTML page with plots of recent metrics."""

import datetime
import html
import io
import itertools
import re
from typing import Any, Final

import click

from guavagate.cli._context import get_client
from guavagate.cli._output import as_json, print_json, print_missing
from guavagate.metrics import Metric, MetricKind, Point, list_metrics
from guavagate.models import InstanceId
from guavagate.operators import InstancesBody, SeriesBody

# More lines in a plot can't be distinguished; the page counts omitted ones.
_MAX_LINES: Final = 24
_PLOT_INCHES: Final = (9, 2.6)
_SERIES_NAME: Final = re.compile(r'^(\w+)(?:\{(.*?)\})?(?::(\w+))?$')
_STYLE: Final = (
    'body{font-family:sans-serif;max-width:60em;margin:2em auto}'
    'svg{width:100%;height:auto}td,th{padding:.1em 1em;text-align:left}'
)

Lines = dict[str, list[tuple[float, float]]]


@click.command()
@click.option(
    '-o',
    '--output',
    default='guavagate-report.html',
    show_default=True,
    type=click.Path(dir_okay=False, writable=True),
    help='File to write.',
)
@as_json
def report(output: str, as_json: bool) -> None:
    """Write one HTML page with plots of the last ten minutes.

    It holds everything it shows, and opens without a network. With --json,
    the figures are printed instead. Needs a fleet operator's token.
    """
    client = get_client()
    body = client.get('/series', SeriesBody)
    print_missing(body.missing)
    if as_json:
        print_json(body)
        return
    fleet = client.get('/instances', InstancesBody)
    with open(output, 'w', encoding='utf-8') as file:
        file.write(render_report(body, fleet))
    click.echo(f'{output} is written.')


def render_report(body: SeriesBody, fleet: InstancesBody) -> str:
    """Return the HTML page."""
    plots = [
        _plot_metric(metric, body)
        for metric in list_metrics()
        if metric.plotted
    ]
    at = datetime.datetime.now(datetime.UTC)
    return '\n'.join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f'<title>guavagate</title><style>{_STYLE}</style></head><body>',
            f'<h1>guavagate, {at:%Y-%m-%d %H:%M:%S} UTC</h1>',
            _render_instances(fleet),
            *plots,
            '</body></html>',
        )
    )


def _render_instances(fleet: InstancesBody) -> str:
    rows = [
        '<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>'.format(
            html.escape(one.instance),
            html.escape(one.availability_zone),
            html.escape(one.state),
            html.escape('; '.join((*one.waits_for, *one.repairs))),
        )
        for one in fleet.instances
    ]
    head = '<tr><th>Instance</th><th>Zone</th><th>State</th><th></th></tr>'
    return f'<table>{head}{"".join(rows)}</table>'


def _plot_metric(metric: Metric, body: SeriesBody) -> str:
    lines: Lines = {}
    for instance, series in body.instances.items():
        lines.update(_find_lines(metric, instance, series))
    title = html.escape(f'{metric.text} ({metric.name})')
    if not lines:
        return f'<h2>{title}</h2><p>No value in these minutes.</p>'
    left_out = len(lines) - _MAX_LINES
    shown = {name: lines[name] for name in sorted(lines)[:_MAX_LINES]}
    note = f'<p>{left_out} lines are left out.</p>' if left_out > 0 else ''
    return f'<h2>{title}</h2>{_draw(shown, _find_unit(metric))}{note}'


def _find_lines(
    metric: Metric, instance: InstanceId, series: tuple[Any, ...]
) -> Lines:
    points: dict[tuple[str, str], tuple[Point, ...]] = {}
    for one in series:
        match = _SERIES_NAME.match(one.name)
        if match is not None and match[1] == metric.name:
            points[match[2] or '', match[3] or ''] = one.points
    lines: Lines = {}
    for labels in {labels for labels, _ in points}:
        name = f'{instance} {labels}'.strip()
        lines[name] = _derive(metric, labels, points)
    return {name: line for name, line in lines.items() if line}


def _derive(
    metric: Metric,
    labels: str,
    points: dict[tuple[str, str], tuple[Point, ...]],
) -> list[tuple[float, float]]:
    """Return gauges as they are, rates of counters, means of histograms."""
    if metric.kind is MetricKind.GAUGE:
        return [(point.at, point.value) for point in points[labels, '']]
    if metric.kind is MetricKind.COUNTER:
        values = points[labels, '']
        return [
            (new.at, (new.value - old.value) / (new.at - old.at))
            for old, new in itertools.pairwise(values)
            if new.at > old.at and new.value >= old.value
        ]
    sums, counts = points[labels, 'sum'], points[labels, 'count']
    return [
        (sums[index].at, (sums[index].value - sums[index - 1].value) / added)
        for index in range(1, min(len(sums), len(counts)))
        if (added := counts[index].value - counts[index - 1].value) > 0
    ]


def _find_unit(metric: Metric) -> str:
    if metric.kind is MetricKind.COUNTER:
        return 'a second'
    return 'mean' if metric.kind is MetricKind.HISTOGRAM else ''


def _draw(lines: Lines, unit: str) -> str:
    """Return an inline SVG."""
    # Imported here because it takes half a second that other commands save.
    from matplotlib.backends.backend_svg import (
        FigureCanvasSVG,
    )
    from matplotlib.figure import Figure

    figure = Figure(figsize=_PLOT_INCHES, layout='constrained')
    canvas = FigureCanvasSVG(figure)
    axes = figure.add_subplot()
    end = max(at for line in lines.values() for at, _ in line)
    for name, line in lines.items():
        axes.plot(
            [at - end for at, _ in line],
            [value for _, value in line],
            label=name,
            linewidth=1,
        )
    axes.set_xlabel('seconds before the end')
    axes.set_ylabel(unit)
    axes.legend(fontsize='x-small', loc='upper left', bbox_to_anchor=(1, 1))
    drawn = io.StringIO()
    canvas.print_svg(drawn, metadata={'Date': None})
    return drawn.getvalue().partition('<svg')[2].join(('<svg', ''))
