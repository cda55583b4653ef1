"""Metrics of one instance; docs/metrics.md is generated from names.py."""

from guavagate.metrics._metric import Metric, MetricKind, list_metrics
from guavagate.metrics._registry import Metrics
from guavagate.metrics._requests import ENV_TEAM, make_request_observer
from guavagate.metrics._series import Point, Series, SeriesRecorder

__all__ = (
    'ENV_TEAM',
    'Metric',
    'MetricKind',
    'Metrics',
    'Point',
    'Series',
    'SeriesRecorder',
    'list_metrics',
    'make_request_observer',
)
