"""Rolls out the newest weights of the deployments this instance is primary of.

The declared target is in the replicated state of the runs, the observed
version in the engine's report. Orders repeat until both are equal.

Orders carry the partition's epoch as a fencing number. Since some engines
ignore it, an order is sent only within `CONFIRMATION_VALID_SECONDS` of a
command that the store accepted at this epoch, and a new primary first waits for
that time plus the longest order. The boot clock measures it, so that a machine
that wakes from suspension doesn't treat an old confirmation as recent.

A process may still pause between its last check of the clock and the send. Its
old order may then undo a newer one until the new primary reads the version back
and corrects it. Samples remain correct, since each piece names the version
that the engine reports for it.
"""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Task
from guavagate.events import write
from guavagate.events.runs import (
    ORDER_WITHHELD,
    SWAP_CONFIRMED,
    SWAP_FAILED,
    SWAP_ORDERED,
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

# Tick interval while this instance is primary of no deployment.
IDLE_TICK_SECONDS: Final = 1.0
REPORT_TIMEOUT_SECONDS: Final = 1.0
# A prefetch that takes longer counts as failed and is ordered again.
FETCH_TIMEOUT_SECONDS: Final = 60.0
ORDER_TIMEOUT_SECONDS: Final = 10.0
# Shorter than any takeover, so that a confirmation can't outlive its primary.
CONFIRMATION_VALID_SECONDS: Final = 1.0
# Used until the interval between versions and the sample time are measured.
DEFAULT_STEP_SECONDS: Final = 60.0
DEFAULT_SAMPLE_SECONDS: Final = 5.0


class WeightRollout:
    """Reconciles samplers with the newest version of their deployment."""

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
        self._rollouts: dict[DeploymentId, DeploymentRollout] = {}
        self._task: Task | None = None

    def start(self) -> None:
        """Start reconciling in the background."""
        self._task = self._runtime.clock.spawn(self._run)

    def stop(self) -> None:
        """Stop reconciling."""
        if self._task is not None:
            self._task.kill()

    def tick(self) -> None:
        """Reconcile each deployment once."""
        seen: set[DeploymentId] = set()
        for epoch, state in self._hosted():
            for deployment_key in list(state.lineages):
                seen.add(deployment_key)
                self._reconcile(deployment_key, epoch, state)
        for deployment_key in [
            deployment_key
            for deployment_key in self._rollouts
            if deployment_key not in seen
        ]:
            self._rollouts.pop(deployment_key)

    def _run(self) -> None:
        while True:
            self._runtime.clock.sleep(
                TICK_SECONDS if self._rollouts else IDLE_TICK_SECONDS
            )
            self.tick()

    def _reconcile(
        self, deployment_key: DeploymentId, epoch: Epoch, state: RunsState
    ) -> None:
        deployment = find_deployment(self._runtime, deployment_key)
        if (
            deployment is None
            or state.find_newest_version(deployment_key) is None
        ):
            return
        now = self._runtime.clock.now()
        rollout = self._rollouts.get(deployment_key)
        if rollout is None or rollout.epoch != epoch:
            rollout = DeploymentRollout(epoch=epoch, since=now, refilled_at=now)
            self._rollouts[deployment_key] = rollout
        if rollout.target != state.find_newest_version(deployment_key):
            rollout.target = state.find_newest_version(deployment_key)
            rollout.read_next.clear()
            rollout.fetching.clear()
        self._read_due_reports(rollout, deployment, now)
        if self._may_order(rollout, deployment):
            self._send_orders(deployment_key, rollout, deployment, state)

    def _read_due_reports(
        self,
        rollout: DeploymentRollout,
        deployment: DeploymentSettings,
        now: float,
    ) -> None:
        """Read the reports that are due."""
        tasks = [
            self._runtime.clock.spawn(self._read_report, rollout, sampler)
            for sampler in deployment.samplers
            if rollout.read_next.get(sampler.id, now) <= now
        ]
        for task in tasks:
            task.join()
        for sampler in deployment.samplers:
            if rollout.read_next.get(sampler.id, now) <= now:
                interval = rollout.get_report_interval(sampler.id)
                rollout.read_next[sampler.id] = now + interval

    def _read_report(
        self, rollout: DeploymentRollout, sampler: SamplerSettings
    ) -> None:
        before = rollout.reports.get(sampler.id)
        try:
            report = self._engine.report(
                sampler.address, REPORT_TIMEOUT_SECONDS
            )
        except UpstreamError:
            rollout.reports.pop(sampler.id, None)
            return
        rollout.reports[sampler.id] = report
        if before is not None and before.version != report.version:
            write(
                _LOGGER,
                SWAP_CONFIRMED,
                sampler=sampler.id,
                version=report.version,
                before=before.version,
            )

    def _may_order(
        self, rollout: DeploymentRollout, deployment: DeploymentSettings
    ) -> bool:
        """Return whether no order of a former primary can take effect."""
        if deployment.fences_orders:
            return True
        primary_seconds = self._runtime.clock.now() - rollout.since
        return (
            primary_seconds > CONFIRMATION_VALID_SECONDS + ORDER_TIMEOUT_SECONDS
        )

    def _send_orders(
        self,
        deployment_key: DeploymentId,
        rollout: DeploymentRollout,
        deployment: DeploymentSettings,
        state: RunsState,
    ) -> None:
        addresses = {
            sampler.id: sampler.address for sampler in deployment.samplers
        }
        inputs = self._make_inputs(deployment_key, rollout, deployment, state)
        samplers = rollout.describe_samplers(
            deployment, self._runtime.clock.now()
        )
        orders = plan_orders(inputs, samplers)
        if not orders or not self._confirm_epoch(
            deployment_key, rollout, orders[0]
        ):
            return
        for order in orders:
            if order.kind is OrderKind.PREFETCH:
                rollout.allowance -= 1
            rollout.ordered[order.sampler] = order.kind
            rollout.read_next.pop(order.sampler, None)
            self._runtime.clock.spawn(
                self._execute_order,
                deployment_key,
                rollout,
                addresses[order.sampler],
                order,
            )

    def _make_inputs(
        self,
        deployment_key: DeploymentId,
        rollout: DeploymentRollout,
        deployment: DeploymentSettings,
        state: RunsState,
    ) -> RolloutInputs:
        now = self._runtime.clock.now()
        rate = deployment.prefetch_per_second
        rollout.allowance = min(
            rollout.allowance + (now - rollout.refilled_at) * rate,
            max(rate, 1),
        )
        rollout.refilled_at = now
        lineage = state.lineages[deployment_key]
        return RolloutInputs(
            published=tuple(lineage.published),
            max_staleness=deployment.max_staleness,
            staleness_weight=deployment.weights.staleness,
            idle_weight=deployment.weights.idle,
            sample_seconds=self._sample_seconds(deployment_key)
            or DEFAULT_SAMPLE_SECONDS,
            step_seconds=lineage.publish_seconds or DEFAULT_STEP_SECONDS,
            prefetches=int(rollout.allowance),
        )

    def _confirm_epoch(
        self,
        deployment_key: DeploymentId,
        rollout: DeploymentRollout,
        order: WeightOrder,
    ) -> bool:
        """Confirm with the store that this epoch is still current."""
        requested_at = self._boot_clock()
        command = ConfirmOrder(
            at=self._runtime.clock.wall(),
            deployment=deployment_key,
            run=RunId(''),
            version=order.version,
        )
        try:
            outcome = self._runtime.partitions.submit_here(
                partition_key(deployment_key),
                rollout.epoch,
                command,
                RunOutcome,
            )
        except PartitionError as error:
            write(
                _LOGGER,
                ORDER_WITHHELD,
                deployment=deployment_key,
                error=str(error),
            )
            return False
        if outcome.newest != order.version:
            return False
        rollout.confirmed_at = requested_at
        return True

    def _execute_order(
        self,
        deployment_key: DeploymentId,
        rollout: DeploymentRollout,
        address: str,
        order: WeightOrder,
    ) -> None:
        try:
            self._send_order(deployment_key, rollout, address, order)
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
            rollout.ordered.pop(order.sampler, None)
            rollout.read_next.pop(order.sampler, None)

    def _send_order(
        self,
        deployment_key: DeploymentId,
        rollout: DeploymentRollout,
        address: str,
        order: WeightOrder,
    ) -> None:
        age = self._boot_clock() - rollout.confirmed_at
        if age > CONFIRMATION_VALID_SECONDS:
            write(_LOGGER, ORDER_WITHHELD, deployment=deployment_key, age=age)
            return
        write(
            _LOGGER,
            SWAP_ORDERED,
            sampler=order.sampler,
            order=order.kind.value,
            version=order.version,
            fence=rollout.epoch,
        )
        self._runtime.decisions.record(
            f'{deployment_key}/{order.version}',
            order.kind.value,
            order.sampler,
            order.reason,
        )
        self._engine.order(
            address,
            EngineOrder(
                action=order.kind.value,
                version=order.version,
                fence=rollout.epoch,
            ),
            ORDER_TIMEOUT_SECONDS,
        )
        if order.kind is OrderKind.PREFETCH:
            until = self._runtime.clock.now() + FETCH_TIMEOUT_SECONDS
            rollout.fetching[order.sampler] = until
