"""Connects the operators' API, metrics and time series to an instance."""

from guavagate.explain import Explainer, RecentDecisions
from guavagate.instance import Instance
from guavagate.metrics import SeriesRecorder, names
from guavagate.operators import (
    OperatorServices,
    ReportCollector,
    add_metrics_route,
    add_routes,
)
from guavagate.reports import ListPartitions, LiveReports, refresh_process
from guavagate.runs import HostedStates
from guavagate.runtime import Runtime
from guavagate.settings import TeamSettingsManager


class Operations:
    """The operators' API, metrics and time series of one instance."""

    def __init__(
        self,
        runtime: Runtime,
        instance: Instance,
        teams: TeamSettingsManager,
        recent: RecentDecisions,
        hosted: HostedStates,
        list_owned: ListPartitions,
    ) -> None:
        self._runtime = runtime
        self._teams = teams
        self._reports = LiveReports(runtime, instance, hosted, list_owned)
        self._series = SeriesRecorder(runtime.clock, runtime.metrics)
        explainer = Explainer(
            runtime.settings.id, runtime.bus, runtime.members, recent
        )
        runtime.metrics.add_refresher(self._refresh)
        instance.readiness.add('settings', self._check_settings)
        add_metrics_route(instance.app, runtime.metrics)
        add_routes(
            instance.app,
            OperatorServices(
                authenticator=instance.authenticator,
                teams=teams,
                explainer=explainer,
                collector=ReportCollector(runtime, self._reports, self._series),
            ),
        )

    def start(self) -> None:
        """Start recording the time series."""
        self._series.start()

    def stop(self) -> None:
        """Stop recording the time series."""
        self._series.stop()

    def _check_settings(self) -> str:
        return '; '.join(self._teams.unready_reasons())

    def _refresh(self) -> None:
        metrics = self._runtime.metrics
        refresh_process(metrics)
        self._reports.refresh(metrics)
        for team, revision in self._teams.table.revisions().items():
            metrics.set_gauge(names.SETTINGS_REVISION, revision, team=team)
