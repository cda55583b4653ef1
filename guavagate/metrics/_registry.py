"""Stores the values of the metrics in aioprometheus.

aioprometheus is made for asyncio. Only its registry, collectors and renderer
are used, as they need no event loop; its service classes do.
"""

from collections.abc import Callable
from typing import Any, Final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from guavagate.metrics._metric import Metric, MetricKind, list_metrics

_COLLECTORS: Final[dict[MetricKind, Any]] = {
    MetricKind.COUNTER: Counter,
    MetricKind.GAUGE: Gauge,
    MetricKind.HISTOGRAM: Histogram,
}
# Bounds memory if label values, by mistake, come from callers.
_MAX_LABEL_SETS: Final = 2000


class Metrics:
    """The metrics of one instance.

    Parameters
    ----------
    const_labels
        Labels of every metric, such as the instance and its availability zone.
    """

    def __init__(self, const_labels: dict[str, str] | None = None) -> None:
        self._registry = Registry()
        self._const_labels = const_labels
        self._collectors: dict[str, Any] = {}
        self._refreshers: list[Callable[[], None]] = []

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        collector = self._find_collector(metric, labels)
        if collector is not None:
            collector.add(labels, amount)

    def set_total(self, metric: Metric, total: float, **labels: str) -> None:
        """Set a counter that is maintained elsewhere, such as by the kernel."""
        collector = self._find_collector(metric, labels)
        if collector is not None:
            collector.set_value(labels, total)

    def set_gauge(self, metric: Metric, level: float, **labels: str) -> None:
        """Set a gauge."""
        collector = self._find_collector(metric, labels)
        if collector is not None:
            collector.set(labels, level)

    def observe(self, metric: Metric, amount: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        collector = self._find_collector(metric, labels)
        if collector is not None:
            collector.observe(labels, float(amount))

    def clear(self, metric: Metric) -> None:
        """Remove all values of a gauge, such as those of released pools."""
        collector = self._collectors.get(metric.name)
        if collector is not None:
            collector.values.clear()

    def add_refresher(self, refresh: Callable[[], None]) -> None:
        """Call a function, which must not block, before values are read."""
        self._refreshers.append(refresh)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the exposition and its headers for an Accept header."""
        self._refresh()
        accepts = [part.strip() for part in accept.split(',') if part.strip()]
        return render(self._registry, accepts)

    def read_plotted(self) -> dict[str, float]:
        """Return the plotted metrics' values; sum and count of histograms."""
        self._refresh()
        values: dict[str, float] = {}
        for metric in list_metrics():
            collector = self._collectors.get(metric.name)
            if metric.plotted and collector is not None:
                values.update(_read_values(metric, collector))
        return values

    def _refresh(self) -> None:
        for refresh in self._refreshers:
            refresh()

    def _find_collector(self, metric: Metric, labels: dict[str, str]) -> Any:
        """Return a metric's collector; `None` for one label set too many."""
        collector = self._collectors.get(metric.name)
        if collector is None:
            collector = _COLLECTORS[metric.kind](
                metric.name,
                metric.text,
                const_labels=self._const_labels,
                registry=self._registry,
            )
            self._collectors[metric.name] = collector
        if labels.keys() != set(metric.labels):
            raise ValueError(f'{metric.name} has the labels {metric.labels}')
        if len(collector.values) < _MAX_LABEL_SETS:
            return collector
        return collector if labels in collector.values else None


def _read_values(metric: Metric, collector: Any) -> dict[str, float]:
    values: dict[str, float] = {}
    for labels, value in collector.get_all():
        label_text = ','.join(
            f'{name}={labels[name]}' for name in metric.labels
        )
        key = f'{metric.name}{{{label_text}}}' if label_text else metric.name
        if metric.kind is MetricKind.HISTOGRAM:
            values[f'{key}:sum'] = float(value['sum'])
            values[f'{key}:count'] = float(value['count'])
        else:
            values[key] = float(value)
    return values
