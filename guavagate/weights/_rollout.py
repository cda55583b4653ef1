"""Orders samplers to the newest version of each deployment decided here.

Declared target and observed version are separate: the target is in the run's
replicated state, the version in the engine's own report. Orders repeat until
the two are equal.

Engines that refuse old fencing numbers get the partition's epoch. For those
that ignore it an order is sent only within `CONFIRM_SECONDS` of a command that
the store took at this epoch, and a new primary waits out that time and the
longest order first. Time is counted by the boot clock: a suspended machine
that wakes must not take its last confirmation for a fresh one. What remains is
a pause between the last look at the clock and the send: then an old order may
undo a newer one until the new primary reads the version back and corrects it.
Samples stay true in it, since each piece names the version that the engine
says made it.
"""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Task
from guavagate.events import write
from guavagate.events.runs import (
    ORDER_WITHHELD,
    SWAP_FAILED,
    SWAP_ORDERED,
    SWAP_SEEN,
)
from guavagate.exceptions import PartitionError, UpstreamError
from guavagate.models import (
    DeploymentId,
    Epoch,
    RunId,
)
from guavagate.ports.engine import EngineOrder, ModelEngine
from guavagate.runs import (
    ConfirmOrder,
    HostedStates,
    RunOutcome,
    RunsState,
    find_deployment,
    partition_key,
)
from guavagate.runtime import Runtime
from guavagate.settings import DeploymentSettings, SamplerSettings
from guavagate.util.boot_clock import read_boot_clock
from guavagate.weights._deployment import TICK_SECONDS, DeploymentRollout
from guavagate.weights._plan import (
    OrderKind,
    RolloutInputs,
    WeightOrder,
    plan_orders,
)

_LOGGER = logging.getLogger(__name__)

# While no deployment's weights are decided here.
REST_SECONDS: Final = 1.0
REPORT_TIMEOUT: Final = 1.0
# A fetch that has not come by then has failed, and is ordered again.
FETCH_SECONDS: Final = 60.0
ORDER_TIMEOUT: Final = 10.0
# A confirmation is good for less time than any takeover takes.
CONFIRM_SECONDS: Final = 1.0
# Time between versions and of a sample before either has been measured.
FIRST_STEP_SECONDS: Final = 60.0
FIRST_SAMPLE_SECONDS: Final = 5.0


class WeightRollout:
    """Reconciles the samplers of the deployments decided here."""

    def __init__(
        self,
        runtime: Runtime,
        engine: ModelEngine,
        hosted: HostedStates,
        sample_seconds: Callable[[DeploymentId], float | None],
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._runtime = runtime
        self._engine = engine
        self._hosted = hosted
        self._sample_seconds = sample_seconds
        self._boot_clock = boot_clock
        self._lineages: dict[DeploymentId, DeploymentRollout] = {}
        self._task: Task | None = None

    def start(self) -> None:
        """Reconcile until stopped."""
        self._task = self._runtime.clock.spawn(self._run)

    def stop(self) -> None:
        """Give no further orders."""
        if self._task is not None:
            self._task.kill()

    def tick(self) -> None:
        """Look at each deployment decided here once."""
        seen: set[DeploymentId] = set()
        for epoch, state in self._hosted():
            for name in list(state.lineages):
                seen.add(name)
                self._look_at(name, epoch, state)
        for name in [name for name in self._lineages if name not in seen]:
            self._lineages.pop(name)

    def _run(self) -> None:
        while True:
            self._runtime.clock.sleep(
                TICK_SECONDS if self._lineages else REST_SECONDS
            )
            self.tick()

    def _look_at(
        self, name: DeploymentId, epoch: Epoch, state: RunsState
    ) -> None:
        deployment = find_deployment(self._runtime, name)
        if deployment is None or state.find_newest_version(name) is None:
            return
        now = self._runtime.clock.now()
        lineage = self._lineages.get(name)
        if lineage is None or lineage.epoch != epoch:
            lineage = DeploymentRollout(epoch=epoch, since=now, refilled_at=now)
            self._lineages[name] = lineage
        if lineage.target != state.find_newest_version(name):
            lineage.target = state.find_newest_version(name)
            lineage.read_next.clear()
            lineage.fetching.clear()
        self._read(lineage, deployment, now)
        if self._may_order(lineage, deployment):
            self._order(name, lineage, deployment, state)

    def _read(
        self,
        lineage: DeploymentRollout,
        deployment: DeploymentSettings,
        now: float,
    ) -> None:
        """Read the reports that are due."""
        tasks = [
            self._runtime.clock.spawn(self._read_one, lineage, sampler)
            for sampler in deployment.samplers
            if lineage.read_next.get(sampler.id, now) <= now
        ]
        for task in tasks:
            task.join()
        for sampler in deployment.samplers:
            if lineage.read_next.get(sampler.id, now) <= now:
                pause = lineage.get_report_interval(sampler.id)
                lineage.read_next[sampler.id] = now + pause

    def _read_one(
        self, lineage: DeploymentRollout, sampler: SamplerSettings
    ) -> None:
        before = lineage.reports.get(sampler.id)
        try:
            report = self._engine.report(sampler.address, REPORT_TIMEOUT)
        except UpstreamError:
            lineage.reports.pop(sampler.id, None)
            return
        lineage.reports[sampler.id] = report
        if before is not None and before.version != report.version:
            write(
                _LOGGER,
                SWAP_SEEN,
                sampler=sampler.id,
                version=report.version,
                before=before.version,
            )

    def _may_order(
        self, lineage: DeploymentRollout, deployment: DeploymentSettings
    ) -> bool:
        """Wait out a former primary's orders where engines don't fence."""
        if deployment.fences_orders:
            return True
        held = self._runtime.clock.now() - lineage.since
        return held > CONFIRM_SECONDS + ORDER_TIMEOUT

    def _order(
        self,
        name: DeploymentId,
        lineage: DeploymentRollout,
        deployment: DeploymentSettings,
        state: RunsState,
    ) -> None:
        addresses = {one.id: one.address for one in deployment.samplers}
        situation = self._describe(name, lineage, deployment, state)
        known = lineage.describe_samplers(deployment, self._runtime.clock.now())
        orders = plan_orders(situation, known)
        if not orders or not self._confirm(name, lineage, orders[0]):
            return
        for order in orders:
            if order.kind is OrderKind.PREFETCH:
                lineage.allowance -= 1
            lineage.ordered[order.sampler] = order.kind
            lineage.read_next.pop(order.sampler, None)
            self._runtime.clock.spawn(
                self._give, name, lineage, addresses[order.sampler], order
            )

    def _describe(
        self,
        name: DeploymentId,
        lineage: DeploymentRollout,
        deployment: DeploymentSettings,
        state: RunsState,
    ) -> RolloutInputs:
        now = self._runtime.clock.now()
        rate = deployment.prefetch_per_second
        lineage.allowance = min(
            lineage.allowance + (now - lineage.refilled_at) * rate,
            max(rate, 1),
        )
        lineage.refilled_at = now
        held = state.lineages[name]
        return RolloutInputs(
            published=tuple(held.published),
            max_staleness=deployment.max_staleness,
            staleness_weight=deployment.weights.staleness,
            idle_weight=deployment.weights.idle,
            sample_seconds=self._sample_seconds(name) or FIRST_SAMPLE_SECONDS,
            step_seconds=held.publish_seconds or FIRST_STEP_SECONDS,
            prefetches=int(lineage.allowance),
        )

    def _confirm(
        self, name: DeploymentId, lineage: DeploymentRollout, order: WeightOrder
    ) -> bool:
        """Have the store say that this epoch still decides."""
        asked = self._boot_clock()
        command = ConfirmOrder(
            at=self._runtime.clock.wall(),
            deployment=name,
            run=RunId(''),
            version=order.version,
        )
        try:
            outcome = self._runtime.partitions.submit_here(
                partition_key(name), lineage.epoch, command, RunOutcome
            )
        except PartitionError as error:
            write(_LOGGER, ORDER_WITHHELD, deployment=name, error=str(error))
            return False
        if outcome.newest != order.version:
            return False
        lineage.confirmed_at = asked
        return True

    def _give(
        self,
        name: DeploymentId,
        lineage: DeploymentRollout,
        address: str,
        order: WeightOrder,
    ) -> None:
        try:
            self._send(name, lineage, address, order)
        except UpstreamError as error:
            write(
                _LOGGER,
                SWAP_FAILED,
                sampler=order.sampler,
                order=order.kind.value,
                version=order.version,
                error=str(error),
            )
        finally:
            lineage.ordered.pop(order.sampler, None)
            lineage.read_next.pop(order.sampler, None)

    def _send(
        self,
        name: DeploymentId,
        lineage: DeploymentRollout,
        address: str,
        order: WeightOrder,
    ) -> None:
        age = self._boot_clock() - lineage.confirmed_at
        if age > CONFIRM_SECONDS:
            write(_LOGGER, ORDER_WITHHELD, deployment=name, age=age)
            return
        write(
            _LOGGER,
            SWAP_ORDERED,
            sampler=order.sampler,
            order=order.kind.value,
            version=order.version,
            fence=lineage.epoch,
        )
        self._runtime.decisions.record(
            f'{name}/{order.version}',
            order.kind.value,
            order.sampler,
            order.reason,
        )
        self._engine.order(
            address,
            EngineOrder(
                action=order.kind.value,
                version=order.version,
                fence=lineage.epoch,
            ),
            ORDER_TIMEOUT,
        )
        if order.kind is OrderKind.PREFETCH:
            until = self._runtime.clock.now() + FETCH_SECONDS
            lineage.fetching[order.sampler] = until
