"""Sets the gauges that are read from parts rather than counted."""

import psutil

from guavagate.metrics import Metrics, names
from guavagate.partitions.replicated import ReplicatedPartitions
from guavagate.permits import PoolHomes
from guavagate.runtime import Runtime
from guavagate.settings import TeamsInForce


class Gauges:
    """Refreshes gauges before they are read."""

    def __init__(
        self,
        runtime: Runtime,
        homes: PoolHomes,
        partitions: ReplicatedPartitions,
        teams: TeamsInForce,
    ) -> None:
        self._runtime = runtime
        self._homes = homes
        self._partitions = partitions
        self._teams = teams
        self._process = psutil.Process()

    def install(self) -> None:
        """Have the gauges refreshed before each reading."""
        self._runtime.metrics.before_reading(self._refresh)

    def _refresh(self) -> None:
        metrics = self._runtime.metrics
        alive = self._runtime.members.alive()
        led = self._partitions.decided_here()
        metrics.set_gauge(names.MEMBERS, len(alive))
        metrics.set_gauge(names.PARTITIONS_LED, len(led))
        usage = self._process.cpu_times()
        metrics.set_total(names.CPU_SECONDS, usage.user + usage.system)
        metrics.set_gauge(names.RESIDENT_BYTES, self._process.memory_info().rss)
        self._read_homes(metrics)
        for team, revision in self._teams.table.revisions().items():
            metrics.set_gauge(names.SETTINGS_REVISION, revision, team=team)

    def _read_homes(self, metrics: Metrics) -> None:
        for owned in self._homes.owned():
            label = owned.spec.key
            metrics.set_gauge(names.QUEUED, owned.pool.queued, deployment=label)
            metrics.set_gauge(
                names.RUNNING, owned.pool.running, deployment=label
            )
