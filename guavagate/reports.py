"""What this instance knows of itself, for operators."""

from collections.abc import Callable

from guavagate import __version__
from guavagate.decisions import SamplerState
from guavagate.models import (
    DeploymentId,
    RunId,
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
from guavagate.partitions.replicated import ReplicatedPartitions
from guavagate.permits import OwnedPool, PoolHomes
from guavagate.runs import Hosted, Run, RunsState, count_progress
from guavagate.runtime import Runtime
from guavagate.web import ActiveRequests


class Reports:
    """Implements `operators.LocalReports`."""

    def __init__(
        self,
        runtime: Runtime,
        homes: PoolHomes,
        partitions: ReplicatedPartitions,
        hosted: Hosted,
        start_drain: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._homes = homes
        self._partitions = partitions
        self._hosted = hosted
        self._start_drain = start_drain
        self.active: ActiveRequests | None = None
        self.waits_for: Callable[[], list[str]] = list
        self.draining = False

    def describe_instance(self) -> InstanceReport:
        """Return this instance."""
        waits_for = tuple(self.waits_for())
        state = 'not ready' if waits_for else 'ready'
        settings = self._runtime.settings
        return InstanceReport(
            instance=settings.id,
            availability_zone=settings.availability_zone,
            state='draining' if self.draining else state,
            waits_for=waits_for,
            active_requests=self.active.count if self.active else 0,
            queued=sum(owned.pool.queued for owned in self._homes.owned()),
            homes=tuple(owned.spec.key for owned in self._homes.owned()),
            partitions=self._list_partitions(),
            repairs=self._list_repairs(),
            release=__version__,
        )

    def list_samplers(self) -> list[SamplerReport]:
        """Return the samplers whose home is here."""
        return [
            self._describe_sampler(owned, owned.spec.deployment, state)
            for owned in self._homes.owned()
            if owned.spec.deployment is not None
            for state in owned.pool.samplers
        ]

    def list_runs(self) -> list[RunReport]:
        """Return the runs whose primary is here."""
        reports: list[RunReport] = []
        for _, state in self._hosted():
            for lineage, held in state.lineages.items():
                reports.extend(
                    self._describe_run(lineage, state, run)
                    for run in held.runs.values()
                )
        return reports

    def start_drain(self) -> None:
        """Begin a planned stop, as SIGTERM does, without waiting for it."""
        self._start_drain()

    def _list_partitions(self) -> tuple[PartitionReport, ...]:
        me = self._runtime.settings.id
        reports = []
        for view in self._partitions.views():
            members = tuple(member.instance for member in view.members)
            if me in members:
                role = 'primary' if members[0] == me else 'backup'
                reports.append(
                    PartitionReport(
                        partition=view.partition,
                        role=role,
                        epoch=view.epoch,
                        members=members,
                    )
                )
        return tuple(reports)

    def _list_repairs(self) -> tuple[str, ...]:
        members = self._runtime.members
        return tuple(
            f'partition {view.partition}: {member.instance} is not there'
            for view in self._partitions.views()
            for member in view.members
            if members.get(member.instance) is None
        )

    def _describe_sampler(
        self,
        owned: OwnedPool,
        deployment: DeploymentId,
        state: SamplerState,
    ) -> SamplerReport:
        leaving = UpstreamState.LEAVING
        return SamplerReport(
            team=owned.spec.team,
            deployment=deployment,
            sampler=state.id,
            availability_zone=state.info.zone,
            home=self._runtime.settings.id,
            state=leaving if state.leaving else UpstreamState.SERVING,
            running=len(state.running),
            slots=state.info.slots,
            queued=owned.pool.queued,
            version=state.version,
            target=self._find_target(owned, deployment),
        )

    def _find_target(
        self, owned: OwnedPool, deployment: DeploymentId
    ) -> WeightVersion | None:
        lineage = DeploymentId(f'{owned.spec.team}/{deployment}')
        for _, state in self._hosted():
            newest = state.newest(lineage)
            if newest is not None:
                return newest
        return None

    def _describe_run(
        self, lineage: DeploymentId, state: RunsState, run: Run
    ) -> RunReport:
        team, _, deployment = lineage.partition('/')
        wanted, finished = count_progress(run)
        return RunReport(
            team=TeamId(team),
            run=RunId(run.run),
            primary=self._runtime.settings.id,
            deployment=DeploymentId(deployment),
            version=state.newest(lineage),
            step=len(run.digests),
            samples_wanted=wanted,
            samples_finished=finished,
            samples_delivered=run.delivered,
            stale=run.regenerated,
        )
