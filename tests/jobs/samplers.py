"""Fakes samplers in memory: streams, crashes, version orders."""

import sys
from collections import Counter
from collections.abc import Callable, Iterator

from guavagate.clock import Clock
from guavagate.exceptions import (
    ContradictoryStreamError,
    UpstreamDisconnectedError,
    UpstreamError,
    UpstreamNotStartedError,
    UpstreamUnreachableError,
)
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
ENDLESS_PADDING = 'x' * 50_000


def make_upstream(
    name: str,
    version: int = 1,
    slots: int = 4,
    incarnation: int = 0,
    cold_for: float | None = 0,
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
        cold_for=cold_for,
    )


class FakeRun:
    """A run of an item; the text of each event names its number."""

    def __init__(
        self, samplers: 'FakeSamplers', upstream: Upstream, item: ItemRequest
    ) -> None:
        self._samplers = samplers
        self._upstream = upstream
        self._item = item
        self.cancelled = False

    def events(self) -> Iterator[TextEvent]:
        """Yield the events after `resume_after`."""
        samplers, name = self._samplers, self._upstream.id
        is_endless = name in samplers.endless
        end = sys.maxsize if is_endless else samplers.length
        for number in range(self._item.resume_after + 1, end + 1):
            samplers.clock.sleep(samplers.event_seconds.get(name, 0.05))
            while name in samplers.stalled and not self.cancelled:
                samplers.clock.sleep(0.02)
            self._check_connection()
            if (name, number) in samplers.skipped:
                samplers.skipped.remove((name, number))
                continue
            if (name, number) in samplers.contradicted:
                samplers.contradicted.remove((name, number))
                raise ContradictoryStreamError('sent twice', 'nothing')
            if self._item.id in samplers.crashing:
                samplers.crash(name)
            if name in samplers.crashed:
                raise UpstreamDisconnectedError('crashed', 'nothing')
            version = samplers.versions.get(name, WeightVersion(1))
            samplers.generated[self._item.id] += 1
            padding = ENDLESS_PADDING if is_endless else samplers.padding
            text = f'{self._item.id}/{number}{padding}'
            yield TextEvent(number, text, version)

    def _check_connection(self) -> None:
        samplers, name = self._samplers, self._upstream.id
        if name in samplers.crashed and not self.cancelled:
            raise UpstreamDisconnectedError('crashed', 'nothing')
        if self.cancelled or name in samplers.down:
            raise UpstreamError('cut', 'nothing')

    def cancel(self) -> None:
        """Cancel the run."""
        self.cancelled = True


class FakeSamplers:
    """Implements `ports.sampler.SamplerClient`.

    `padding` ends the text of each event.
    `event_seconds` is the event interval by sampler, and `idle` its number of
    idle connections. A `stalled` sampler sends no more events, a `down` one
    refuses connections, `skipped` lists events that a sampler leaves out, and
    `contradicted` those before which it sends an earlier one with other data.
    `endless` ones never end a text.
    The first `lost_orders` orders get no response. Those in `full` refuse
    items. The items in `crashing` crash the samplers that run them, with all
    other runs there.
    """

    def __init__(self, clock: Clock, length: int = 5) -> None:
        self.clock = clock
        self.length = length
        self.padding = ''
        self.event_seconds: dict[str, float] = {}
        self.down: set[str] = set()
        self.endless: set[str] = set()
        self.skipped: set[tuple[str, int]] = set()
        self.contradicted: set[tuple[str, int]] = set()
        self.versions: dict[str, WeightVersion] = {}
        self.orders_taken: Counter[str] = Counter()
        self.orders: list[tuple[float, str, VersionOrder]] = []
        self.lost_orders = 0
        self.incarnation: dict[str, int] = {}
        self.stalled: set[str] = set()
        self.reports: Counter[str] = Counter()
        self.idle: Counter[str] = Counter()
        self.generated: Counter[str] = Counter()
        self.started: list[tuple[str, str, int]] = []
        # Times of the requests that reached each sampler, also refused ones.
        self.arrivals: dict[str, list[float]] = {}
        self.full: set[str] = set()
        self.requests: list[ItemRequest] = []
        self.crashing: set[str] = set()
        self.crashed: list[str] = []
        self.on_crash: Callable[[str], None] = self.down.add

    def run(self, upstream: Upstream, item: ItemRequest, model: str) -> FakeRun:
        """Start an item."""
        self.clock.sleep(0.002)
        if upstream.id in self.down:
            raise UpstreamUnreachableError('refused', 'nothing')
        self.arrivals.setdefault(upstream.id, []).append(self.clock.now())
        if upstream.id in self.full:
            raise UpstreamNotStartedError('full', 'nothing')
        self.started.append((item.id, upstream.id, item.resume_after))
        self.requests.append(item)
        return FakeRun(self, upstream, item)

    def crash(self, name: str) -> None:
        """End a sampler."""
        if name not in self.crashed:
            self.crashed.append(name)
            self.down.add(name)
            self.on_crash(name)

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
        """Apply an order if its count of earlier orders is right."""
        self.clock.sleep(0.002)
        self.orders.append((self.clock.now(), upstream.id, order))
        if self.lost_orders:
            self.lost_orders -= 1
            raise UpstreamError('no answer', 'look')
        if order.orders_taken != self.orders_taken[upstream.id]:
            raise OrderRefusedError('409')
        if self.versions.get(upstream.id, 1) >= order.version:
            return True
        self.orders_taken[upstream.id] += 1
        self.versions[upstream.id] = order.version
        return False

    def count_idle_connections(self, upstream: Upstream) -> int:
        """Return the idle connections to a sampler."""
        return self.idle[upstream.id]
