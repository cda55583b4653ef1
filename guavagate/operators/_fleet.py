"""Resources for instances, samplers, runs, metrics, drains and decisions."""

from typing import Any

import falcon
import msgspec

from guavagate.exceptions import RefusalError
from guavagate.metrics import Series
from guavagate.models import DeploymentId, InstanceId, TeamId, ZoneId
from guavagate.operators._answers import write_json
from guavagate.operators._base import OperatorServices, handle_errors
from guavagate.operators._collect import CollectedReports, ReportKind
from guavagate.operators._reports import (
    InstanceReport,
    RunReport,
    SamplerReport,
)


class _Resource:
    def __init__(self, services: OperatorServices) -> None:
        self._services = services


class InstancesBody(msgspec.Struct, frozen=True, kw_only=True):
    """All instances, including those that did not respond."""

    instances: tuple[InstanceReport, ...]


class SamplersBody(msgspec.Struct, frozen=True, kw_only=True):
    """Samplers by team and deployment; `missing` instances did not respond."""

    samplers: tuple[SamplerReport, ...]
    missing: dict[InstanceId, str]


class RunsBody(msgspec.Struct, frozen=True, kw_only=True):
    """Runs by team; `missing` instances did not respond."""

    runs: tuple[RunReport, ...]
    missing: dict[InstanceId, str]


class SeriesBody(msgspec.Struct, frozen=True, kw_only=True):
    """The last minutes of each instance's plotted metrics."""

    instances: dict[InstanceId, tuple[Series, ...]]
    missing: dict[InstanceId, str]


class DrainBody(msgspec.Struct, frozen=True, kw_only=True):
    """Confirms that the planned stop has begun."""

    instance: InstanceId
    state: str = 'draining'


class DeploymentReport(msgspec.Struct, frozen=True, kw_only=True):
    """A deployment with the totals of its samplers."""

    team: TeamId
    deployment: DeploymentId
    samplers: int
    serving: int
    running: int
    slots: int
    queued: int
    versions: tuple[int, ...]


class DeploymentsBody(msgspec.Struct, frozen=True, kw_only=True):
    """Deployments by team; `missing` instances did not respond."""

    deployments: tuple[DeploymentReport, ...]
    missing: dict[InstanceId, str]


class InstancesResource(_Resource):
    """All instances with their state, roles, load and repairs."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """List the instances."""
        self._services.identify(request)
        collected = self._services.collector.collect(ReportKind.INSTANCE)
        reports = [
            answer.instance
            for answer in collected.answers.values()
            if answer.instance is not None
        ]
        reports += [
            InstanceReport(
                instance=instance,
                availability_zone=ZoneId(''),
                state='no answer',
                waits_for=(problem,),
            )
            for instance, problem in collected.missing.items()
        ]
        reports.sort(key=lambda report: report.instance)
        write_json(response, InstancesBody(instances=tuple(reports)))


class SamplersResource(_Resource):
    """All samplers of the operator's teams."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """List the samplers."""
        identity = self._services.identify(request)
        collected = self._services.collector.collect(ReportKind.SAMPLERS)
        samplers = _list_samplers(collected)
        write_json(
            response,
            SamplersBody(
                samplers=tuple(
                    report
                    for report in samplers
                    if identity.can_access_team(report.team)
                ),
                missing=collected.missing,
            ),
        )


class DeploymentsResource(_Resource):
    """All deployments of the operator's teams."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """List the deployments with the totals of their samplers."""
        identity = self._services.identify(request)
        collected = self._services.collector.collect(ReportKind.SAMPLERS)
        samplers = _list_samplers(collected)
        deployments = [
            _summarize(team.team, deployment.id, samplers)
            for team in self._services.teams.all()
            if identity.can_access_team(team.team)
            for deployment in team.deployments
        ]
        write_json(
            response,
            DeploymentsBody(
                deployments=tuple(deployments), missing=collected.missing
            ),
        )


class RunsResource(_Resource):
    """All runs of the operator's teams."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """List the runs."""
        identity = self._services.identify(request)
        collected = self._services.collector.collect(ReportKind.RUNS)
        runs = sorted(
            (
                run
                for answer in collected.answers.values()
                for run in answer.runs
            ),
            key=lambda run: (run.team, run.run),
        )
        write_json(
            response,
            RunsBody(
                runs=tuple(
                    run for run in runs if identity.can_access_team(run.team)
                ),
                missing=collected.missing,
            ),
        )


class SeriesResource(_Resource):
    """The recent metrics of all instances, for `guavagate report`."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return the series by instance."""
        self._services.identify(request).require_fleet_operator()
        collected = self._services.collector.collect(ReportKind.SERIES)
        instances = {
            instance: answer.series
            for instance, answer in collected.answers.items()
        }
        write_json(
            response, SeriesBody(instances=instances, missing=collected.missing)
        )


class DrainResource(_Resource):
    """Planned stops of instances."""

    @handle_errors
    def on_post(
        self,
        request: falcon.Request,
        response: falcon.Response,
        instance: str,
    ) -> None:
        """Start a planned stop, which ends when the instance has no work."""
        identity = self._services.identify(request)
        identity.require_fleet_operator()
        name = InstanceId(instance)
        self._services.collector.drain(name, identity.caller)
        write_json(response, DrainBody(instance=name), 202)


class ExplainResource(_Resource):
    """The decisions about an id, such as that of a request."""

    @handle_errors
    def on_get(
        self, request: falcon.Request, response: falcon.Response, **names: Any
    ) -> None:
        """Return the decisions of all instances, oldest first."""
        identity = self._services.identify(request)
        subject = str(names['subject'])
        if subject.startswith('settings/'):
            identity.require_team(TeamId(subject.split('/')[1]))
        explanation = self._services.explainer.explain(subject)
        if not explanation.decisions and not explanation.missing:
            raise RefusalError(
                f'no instance knows a decision about {subject!r}',
                'check the id; the newest few thousand are kept in memory, the'
                ' log has the others',
                reason='not_found',
                status=404,
            )
        write_json(response, explanation)


def _list_samplers(collected: CollectedReports) -> list[SamplerReport]:
    return sorted(
        (
            report
            for answer in collected.answers.values()
            for report in answer.samplers
        ),
        key=lambda report: (report.team, report.deployment, report.sampler),
    )


def _summarize(
    team: TeamId, deployment: DeploymentId, samplers: list[SamplerReport]
) -> DeploymentReport:
    matching = [
        report
        for report in samplers
        if (report.team, report.deployment) == (team, deployment)
    ]
    versions = {
        report.version for report in matching if report.version is not None
    }
    return DeploymentReport(
        team=team,
        deployment=deployment,
        samplers=len(matching),
        serving=sum(report.state.value == 'serving' for report in matching),
        running=sum(report.running for report in matching),
        slots=sum(report.slots for report in matching),
        queued=sum(
            {report.pool: report.pool_queued for report in matching}.values()
        ),
        versions=tuple(sorted(versions)),
    )
