"""Metrics of one instance; docs/metrics.md is generated from the catalogue."""

from guavagate.metrics._metric import Metric, MetricKind, list_metrics
from guavagate.metrics._registry import Metrics
from guavagate.metrics._series import Point, Series, SeriesKeeper

__all__ = (
    'Metric',
    'MetricKind',
    'Metrics',
    'Point',
    'Series',
    'SeriesKeeper',
    'list_metrics',
)
