"""Reports the state of one instance to operators."""

import os
import signal
from collections.abc import Callable, Iterable, Iterator
from typing import Final

import psutil

from guavagate import __version__
from guavagate.instance import Instance
from guavagate.metrics import Metrics, names
from guavagate.models import (
    DeploymentId,
    SamplerId,
    TeamId,
    UpstreamState,
    WeightVersion,
)
from guavagate.operators import (
    InstanceReport,
    PartitionReport,
    RunReport,
    SamplerReport,
)
from guavagate.partitions.stored import OwnedPartition
from guavagate.permits import OwnedPool
from guavagate.runs import HostedStates, Run
from guavagate.runtime import Runtime

_READY: Final = 'ready'
_NOT_READY: Final = 'not ready'
_DRAINING: Final = 'draining'

ListPartitions = Callable[[], Iterable[OwnedPartition]]


class LiveReports:
    """Implements `operators.LocalReports` for a running instance."""

    def __init__(
        self,
        runtime: Runtime,
        instance: Instance,
        hosted: HostedStates,
        list_owned: ListPartitions,
    ) -> None:
        self._runtime = runtime
        self._instance = instance
        self._hosted = hosted
        self._list_owned = list_owned
        self._me = runtime.settings.id
        self._draining = False

    def describe_instance(self) -> InstanceReport:
        """Return the state, load, roles and repairs of this instance."""
        pools = self._instance.queue_owner.list_owned()
        reasons = self._instance.readiness.reasons()
        return InstanceReport(
            instance=self._me,
            availability_zone=self._runtime.settings.availability_zone,
            state=self._state(ready=not reasons),
            waits_for=tuple(reasons.values()),
            active_requests=self._instance.active.count,
            queued=sum(len(owned.queued) for owned in pools),
            homes=tuple(sorted(owned.spec.key for owned in pools)),
            partitions=tuple(self._list_partitions()),
            repairs=tuple(self._list_repairs(pools)),
            release=__version__,
        )

    def list_samplers(self) -> list[SamplerReport]:
        """Return the samplers of the pools whose queue this instance owns."""
        return [
            report
            for owned in self._instance.queue_owner.list_owned()
            for report in self._list_pool(owned)
        ]

    def list_runs(self) -> list[RunReport]:
        """Return the runs whose primary is this instance."""
        found: list[RunReport] = []
        for _, state in self._hosted():
            for name, lineage in state.lineages.items():
                newest = state.find_newest_version(name)
                found.extend(
                    self._describe_run(name, run, newest)
                    for run in lineage.runs.values()
                )
        return found

    def start_drain(self) -> None:
        """Start a planned stop once; a second signal would cut requests."""
        if self._draining:
            return
        self._draining = True
        os.kill(os.getpid(), signal.SIGTERM)

    def refresh(self, metrics: Metrics) -> None:
        """Update the gauges of this instance's own state."""
        metrics.set_gauge(
            names.READY, float(not self._instance.readiness.reasons())
        )
        metrics.set_gauge(
            names.MEMBERS, float(len(self._runtime.members.alive()))
        )
        led_count = len(list(self._list_owned()))
        metrics.set_gauge(names.PARTITIONS_LED, float(led_count))
        metrics.clear(names.QUEUED)
        metrics.clear(names.RUNNING)
        for owned in self._instance.queue_owner.list_owned():
            pool = owned.spec.key
            metrics.set_gauge(names.QUEUED, len(owned.queued), pool=pool)
            metrics.set_gauge(names.RUNNING, len(owned.granted), pool=pool)

    def _state(self, *, ready: bool) -> str:
        if self._draining:
            return _DRAINING
        return _READY if ready else _NOT_READY

    def _list_partitions(self) -> Iterator[PartitionReport]:
        for owned in self._list_owned():
            yield PartitionReport(
                partition=owned.partition,
                role='primary',
                epoch=owned.epoch,
                members=(self._me,),
            )

    def _list_repairs(self, pools: list[OwnedPool]) -> Iterator[str]:
        now = self._runtime.clock.now()
        for owned in pools:
            if now < owned.grants_from:
                yield f'pool {owned.spec.key} counts what already runs'

    def _list_pool(self, owned: OwnedPool) -> Iterator[SamplerReport]:
        deployment = owned.spec.deployment
        if deployment is None:
            return
        reports = self._instance.reports.reports()
        for member in owned.spec.members:
            report = reports.get(member.id)
            leaving = SamplerId(member.id) in owned.leaving
            yield SamplerReport(
                team=owned.spec.team,
                deployment=deployment,
                sampler=SamplerId(member.id),
                availability_zone=member.zone,
                home=self._me,
                state=(
                    UpstreamState.LEAVING
                    if leaving
                    else UpstreamState.SERVING
                    if report
                    else UpstreamState.GONE
                ),
                running=sum(
                    grant.permit.upstream == member.id
                    for grant in owned.granted.values()
                ),
                slots=member.slots,
                pool=owned.spec.key,
                pool_queued=len(owned.queued),
                version=report.version if report else None,
            )

    def _describe_run(
        self, name: DeploymentId, run: Run, newest: WeightVersion | None
    ) -> RunReport:
        team, _, deployment = name.partition('/')
        step = next(iter(run.steps.values()), None)
        return RunReport(
            team=TeamId(team),
            run=run.run,
            primary=self._me,
            deployment=DeploymentId(deployment),
            version=newest,
            step=step.step_id if step else '',
            steps=len(run.steps),
            wanted=sum(g.samples for g in step.groups) if step else 0,
            finished=len(step.finished) if step else 0,
            stale=run.regenerated,
        )


def refresh_process(metrics: Metrics) -> None:
    """Update the metrics of this process's CPU time and memory."""
    process = psutil.Process()
    with process.oneshot():
        times = process.cpu_times()
        metrics.set_total(names.CPU_SECONDS, times.user + times.system)
        metrics.set_gauge(names.RESIDENT_BYTES, process.memory_info().rss)
