"""The primary's view of the weights on one deployment's samplers."""

from typing import Final

import msgspec

from guavagate.models import Epoch, SamplerId, WeightVersion
from guavagate.ports.engine import EngineReport
from guavagate.settings import DeploymentSettings
from guavagate.weights._plan import OrderKind, SamplerWeights

# Tick interval, and report interval of a sampler that executes an order; new
# weights must be on all samplers within seconds.
TICK_SECONDS: Final = 0.25
# Report interval of an outdated sampler that waits for an order.
WAITING_REPORT_SECONDS: Final = 2.0
# Report interval of a sampler that has the target version; it only detects a
# restart. Meanwhile the queue owner, which reads the report every second,
# assigns no work there that would be stale. Reading 730 samplers every two
# seconds would take a quarter of the primary's core (docs/CAPACITY.md).
IDLE_REPORT_SECONDS: Final = 60.0


class DeploymentRollout(msgspec.Struct, kw_only=True):
    """The progress of a rollout to one deployment's samplers.

    Attributes
    ----------
    since
        When this instance became the primary.
    read_next
        When each sampler's report is due.
    confirmed_at
        When the last confirmation of the epoch was requested, by the boot
        clock.
    allowance
        Prefetches that the weight store's rate limit allows, as of
        `refilled_at`.
    ordered
        Orders that are being sent.
    fetching
        Deadline of each sampler's prefetch.
    """

    epoch: Epoch
    since: float
    target: WeightVersion | None = None
    read_next: dict[SamplerId, float] = msgspec.field(default_factory=dict)
    confirmed_at: float = float('-inf')
    allowance: float = 0
    refilled_at: float
    reports: dict[SamplerId, EngineReport] = msgspec.field(default_factory=dict)
    ordered: dict[SamplerId, OrderKind] = msgspec.field(default_factory=dict)
    fetching: dict[SamplerId, float] = msgspec.field(default_factory=dict)

    def describe_samplers(
        self, deployment: DeploymentSettings, now: float
    ) -> list[SamplerWeights]:
        """Return the state of each sampler that reports and isn't leaving."""
        return [
            SamplerWeights(
                sampler=sampler.id,
                version=self.reports[sampler.id].version,
                prefetched=frozenset(self.reports[sampler.id].prefetched),
                running=self.reports[sampler.id].running,
                slots=sampler.slots,
                ordered=self._find_active_order(sampler.id, now),
            )
            for sampler in deployment.samplers
            if sampler.id in self.reports
            and not self.reports[sampler.id].leaving
        ]

    def get_report_interval(self, sampler: SamplerId) -> float:
        """Return the seconds until a sampler's report is read again."""
        report = self.reports.get(sampler)
        if report is not None and report.version == self.target:
            return IDLE_REPORT_SECONDS
        if sampler in self.ordered or sampler in self.fetching:
            return TICK_SECONDS
        return WAITING_REPORT_SECONDS

    def _find_active_order(
        self, sampler: SamplerId, now: float
    ) -> OrderKind | None:
        """Return the order that a sampler is executing.

        An engine answers a prefetch order immediately and fetches in the
        background. A second order meanwhile would make it fetch twice and
        count twice against the store's rate limit.
        """
        fetch_deadline = self.fetching.get(sampler)
        if fetch_deadline is not None:
            report = self.reports[sampler]
            if now > fetch_deadline or self.target in report.prefetched:
                self.fetching.pop(sampler)
            else:
                return OrderKind.PREFETCH
        return self.ordered.get(sampler)
