"""Defines metrics and lists them."""

import enum

import msgspec


class MetricKind(enum.Enum):
    """The Prometheus type of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


class Metric(msgspec.Struct, frozen=True, kw_only=True):
    """One metric.

    Parameters
    ----------
    name
        Ends with its unit, as is usual in Prometheus.
    labels
        Label names. Their values come from settings or code, never from
        callers, because the memory of each new value is never freed.
    plotted
        Whether `guavagate report` plots it.
    """

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()
    plotted: bool = False

    def __post_init__(self) -> None:
        """Register the metric under its name."""
        other = _METRICS.setdefault(self.name, self)
        if other != self:
            raise ValueError(f'the metric {self.name} is declared twice')


_METRICS: dict[str, Metric] = {}


def list_metrics() -> list[Metric]:
    """Return all metrics of the imported modules, ordered by name."""
    return [_METRICS[name] for name in sorted(_METRICS)]
