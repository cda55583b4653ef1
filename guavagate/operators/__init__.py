"""Operators' HTTP: settings under paths, status, explain, drain, health."""

from guavagate.operators._base import Operators
from guavagate.operators._collect import Collector
from guavagate.operators._health import add_health_routes
from guavagate.operators._reports import (
    InstanceReport,
    LocalReports,
    PartitionReport,
    RunReport,
    SamplerReport,
)
from guavagate.operators._routes import add_routes

__all__ = (
    'Collector',
    'InstanceReport',
    'LocalReports',
    'Operators',
    'PartitionReport',
    'RunReport',
    'SamplerReport',
    'add_health_routes',
    'add_routes',
)
