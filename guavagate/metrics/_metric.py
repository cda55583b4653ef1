"""What a metric is, and the list of them all."""

import enum

import msgspec


class MetricKind(enum.Enum):
    """How a metric is counted."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


class Metric(msgspec.Struct, frozen=True, kw_only=True):
    """One metric.

    Parameters
    ----------
    name
        With its unit last, as Prometheus has it.
    labels
        Names whose values come from settings or code, never from callers:
        each new value takes memory for good.
    plotted
        Whether `guavagate report` draws it.
    """

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()
    plotted: bool = False

    def __post_init__(self) -> None:
        """Enter the metric into the list."""
        other = _METRICS.setdefault(self.name, self)
        if other != self:
            raise ValueError(f'the metric {self.name} is declared twice')


_METRICS: dict[str, Metric] = {}


def list_metrics() -> list[Metric]:
    """Return all metrics imported so far, by name."""
    return [_METRICS[name] for name in sorted(_METRICS)]
