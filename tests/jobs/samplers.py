"""Samplers in memory: events at a pace, crashes, orders, versions."""

from collections import Counter
from collections.abc import Iterator

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError, UpstreamUnreachableError
from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId
from guavagate.ports.sampler import (
    ItemRequest,
    OrderRefusedError,
    SamplerReport,
    TextEvent,
    VersionOrder,
)
from guavagate.ports.upstreams import Upstream

SERVICE = ServiceId('llm')
MODEL = 'm0'


def make_upstream(
    name: str, version: int = 1, slots: int = 4, incarnation: int = 0
) -> Upstream:
    """Return a sampler's registration."""
    return Upstream(
        id=UpstreamId(name),
        service=SERVICE,
        address=f'127.0.0.1:{hash(name) % 1000 + 1000}',
        zone=ZoneId('zone-0'),
        slots=slots,
        versions={MODEL: WeightVersion(version)},
        incarnation=incarnation,
    )


class FakeRun:
    """A run of an item: its text says which event it is."""

    def __init__(
        self, fleet: 'FakeSamplers', upstream: Upstream, item: ItemRequest
    ) -> None:
        self._fleet = fleet
        self._upstream = upstream
        self._item = item
        self.cancelled = False

    def events(self) -> Iterator[TextEvent]:
        """Yield the events after the one to resume after."""
        fleet, name = self._fleet, self._upstream.id
        for number in range(self._item.resume_after + 1, fleet.length + 1):
            fleet.clock.sleep(fleet.pace.get(name, 0.05))
            while name in fleet.silent and not self.cancelled:
                fleet.clock.sleep(0.02)
            if self.cancelled or name in fleet.down:
                raise UpstreamError('cut', 'nothing')
            if (name, number) in fleet.skipped:
                fleet.skipped.remove((name, number))
                continue
            version = fleet.versions.get(name, WeightVersion(1))
            fleet.made[self._item.id] += 1
            yield TextEvent(number, f'{self._item.id}/{number}', version)

    def cancel(self) -> None:
        """Leave."""
        self.cancelled = True


class FakeSamplers:
    """Implements `ports.sampler.SamplerClient`."""

    def __init__(self, clock: Clock, length: int = 5) -> None:
        self.clock = clock
        self.length = length
        self.pace: dict[str, float] = {}
        self.down: set[str] = set()
        self.skipped: set[tuple[str, int]] = set()
        self.versions: dict[str, WeightVersion] = {}
        self.orders_taken: Counter[str] = Counter()
        self.orders: list[tuple[float, str, VersionOrder]] = []
        self.silent_orders = 0
        self.incarnation: dict[str, int] = {}
        self.silent: set[str] = set()
        self.reports: Counter[str] = Counter()
        self.made: Counter[str] = Counter()
        self.started: list[tuple[str, str, int]] = []
        self.requests: list[ItemRequest] = []

    def run(self, upstream: Upstream, item: ItemRequest, model: str) -> FakeRun:
        """Start an item."""
        self.clock.sleep(0.002)
        if upstream.id in self.down:
            raise UpstreamUnreachableError('refused', 'nothing')
        self.started.append((item.id, upstream.id, item.resume_after))
        self.requests.append(item)
        return FakeRun(self, upstream, item)

    def report(self, upstream: Upstream) -> SamplerReport:
        """Return the sampler's state."""
        self.clock.sleep(0.002)
        self.reports[upstream.id] += 1
        if upstream.id in self.down:
            raise UpstreamUnreachableError('refused', 'nothing')
        version = self.versions.get(upstream.id, WeightVersion(1))
        return SamplerReport(
            busy=False,
            orders_taken=self.orders_taken[upstream.id],
            versions={MODEL: version},
            incarnation=self.incarnation.get(upstream.id, 0),
        )

    def order(self, upstream: Upstream, order: VersionOrder) -> bool:
        """Take an order, if it expects the right count of orders."""
        self.clock.sleep(0.002)
        self.orders.append((self.clock.now(), upstream.id, order))
        if self.silent_orders:
            self.silent_orders -= 1
            raise UpstreamError('no answer', 'look')
        if order.orders_taken != self.orders_taken[upstream.id]:
            raise OrderRefusedError('409')
        if self.versions.get(upstream.id, 1) >= order.version:
            return True
        self.orders_taken[upstream.id] += 1
        self.versions[upstream.id] = order.version
        return False
