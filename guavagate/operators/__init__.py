"""The operators' HTTP API: settings, status, explanations and drains."""

from guavagate.operators._answers import ErrorBody, ErrorDetail
from guavagate.operators._base import OperatorServices
from guavagate.operators._collect import ReportCollector
from guavagate.operators._exposition import add_metrics_route
from guavagate.operators._fleet import (
    DeploymentReport,
    DeploymentsBody,
    DrainBody,
    InstancesBody,
    RunsBody,
    SamplersBody,
    SeriesBody,
)
from guavagate.operators._reports import (
    InstanceReport,
    LocalReports,
    PartitionReport,
    RunReport,
    SamplerReport,
)
from guavagate.operators._routes import add_routes
from guavagate.operators._settings import (
    DiffBody,
    HistoryBody,
    SettingsBody,
    SettingsCheck,
    SettingsPut,
    SettingsRollback,
    StatusBody,
    TeamBody,
)

__all__ = (
    'DeploymentReport',
    'DeploymentsBody',
    'DiffBody',
    'DrainBody',
    'ErrorBody',
    'ErrorDetail',
    'HistoryBody',
    'InstanceReport',
    'InstancesBody',
    'LocalReports',
    'OperatorServices',
    'PartitionReport',
    'ReportCollector',
    'RunReport',
    'RunsBody',
    'SamplerReport',
    'SamplersBody',
    'SeriesBody',
    'SettingsBody',
    'SettingsCheck',
    'SettingsPut',
    'SettingsRollback',
    'StatusBody',
    'TeamBody',
    'add_metrics_route',
    'add_routes',
)
