"""What the primary of a deployment knows of its samplers' weights."""

from typing import Final

import msgspec

from guavagate.models import Epoch, SamplerId, WeightVersion
from guavagate.ports.engine import EngineReport
from guavagate.settings import DeploymentSettings
from guavagate.weights._plan import OrderKind, SamplerWeights

# While a sampler carries out an order its report is read at this pace; new
# weights have to be on all samplers within seconds.
TICK_SECONDS: Final = 0.25
# One that is behind and waits its turn for an order.
WAITING_SECONDS: Final = 2.0
# One that has the target is only read to find that it has restarted. Until
# then its home, which reads its reports each second, places nothing there
# that would be stale; 730 samplers read every two seconds would cost their
# primary a quarter of a core (docs/CAPACITY.md).
IDLE_SECONDS: Final = 60.0


class DeploymentRollout(msgspec.Struct, kw_only=True):
    """What this primary knows of one deployment's samplers."""

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
        """Return what is known of the samplers that stay."""
        return [
            SamplerWeights(
                sampler=sampler.id,
                version=self.reports[sampler.id].version,
                prefetched=frozenset(self.reports[sampler.id].prefetched),
                running=self.reports[sampler.id].running,
                slots=sampler.slots,
                ordered=self._find_order(sampler.id, now),
            )
            for sampler in deployment.samplers
            if sampler.id in self.reports
            and not self.reports[sampler.id].leaving
        ]

    def get_report_interval(self, sampler: SamplerId) -> float:
        """Return the seconds after which a sampler's report is read again."""
        report = self.reports.get(sampler)
        if report is not None and report.version == self.target:
            return IDLE_SECONDS
        if sampler in self.ordered or sampler in self.fetching:
            return TICK_SECONDS
        return WAITING_SECONDS

    def _find_order(self, sampler: SamplerId, now: float) -> OrderKind | None:
        """Return the order that a sampler is carrying out.

        An engine answers a prefetch at once and fetches for a while; ordered
        again meanwhile, it would fetch twice under the store's rate limit.
        """
        until = self.fetching.get(sampler)
        if until is not None:
            report = self.reports[sampler]
            if now > until or self.target in report.prefetched:
                self.fetching.pop(sampler)
            else:
                return OrderKind.PREFETCH
        return self.ordered.get(sampler)
