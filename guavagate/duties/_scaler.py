"""Scales a service's upstreams from its job owner, under its lease."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock, Task
from guavagate.duties._targets import (
    CapacityType,
    Targets,
    UpstreamCounts,
    choose_targets,
)
from guavagate.events import duties as events
from guavagate.events import write
from guavagate.exceptions import StoreUnavailableError
from guavagate.models import InstanceId, ServiceId, ZoneId
from guavagate.ports.configuration import Scaling
from guavagate.ports.duties import (
    DutyAnswer,
    DutyClient,
    LeaseHolder,
    ScaleOrder,
)
from guavagate.rollouts import Lease, LeaseHeldError, acquire_for_orders
from guavagate.routing import RouteTable, UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS: Final = 0.5
# Peaks count for this long, which covers some steps, so that upstreams do not
# come and go when a trainer stops or is slow once.
PEAK_SECONDS: Final = 30.0
# How long regular upstreams replace spot ones in a zone where an order for spot
# ones failed.
SPOT_UNAVAILABLE_SECONDS: Final = 20.0
# An order counts as lost if its upstreams are still missing this long after
# their boot time.
OVERDUE_SECONDS: Final = 2.0

CountOpen = Callable[[], dict[str, int]]
_Key = tuple[ZoneId, CapacityType]


class Scaler:
    """Adjusts the number of a service's upstreams to the demand of its steps.

    Parameters
    ----------
    count_open
        Returns the number of unfinished items by model.
    count_slots
        Returns the number of slots of an upstream.
    """

    def __init__(
        self,
        service: ServiceId,
        me: InstanceId,
        clock: Clock,
        lease: Lease,
        routes: RouteTable,
        upstreams: UpstreamTable,
        client: DutyClient,
        count_open: CountOpen,
        count_slots: Callable[[], int],
    ) -> None:
        self._service = service
        self._me = me
        self._clock = clock
        self._lease = lease
        self._routes = routes
        self._upstreams = upstreams
        self._client = client
        self._count_open = count_open
        self._count_slots = count_slots
        self._peaks: dict[str, deque[tuple[float, int]]] = {}
        self._baseline: dict[ZoneId, int] = {}
        self._ordered: Targets = {}
        self._ordered_at: dict[_Key, float] = {}
        self._spot_unavailable_until: dict[ZoneId, float] = {}
        self._started_at = float(0)
        self._task: Task | None = None

    def start(self) -> None:
        """Start scaling."""
        if self._task is None:
            self._started_at = self._clock.now()
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop scaling; existing upstreams stay."""
        if self._task is None:
            return
        self._task.kill(block=False)
        self._task = None
        self._baseline.clear()
        self._ordered.clear()
        self._ordered_at.clear()

    def _run(self) -> None:
        while True:
            self._clock.sleep(CHECK_INTERVAL_SECONDS)
            try:
                self._check()
            except (LeaseHeldError, StoreUnavailableError) as error:
                _LOGGER.debug('cannot order upstreams: %s', error)

    def _check(self) -> None:
        configured = self._routes.find_service(self._service)
        if configured is None or configured.scaling is None:
            return
        now = self._clock.now()
        demand = self._compute_demand()
        counts = self._count_upstreams(configured.scaling)
        if now - self._started_at < PEAK_SECONDS:
            # The bursts are still unknown. One that gets too few slots is late,
            # and delays the next steps of its trainer; idle upstreams for half
            # a minute cost less.
            demand = max(demand, configured.scaling.max_upstreams * len(counts))
        spot_unavailable = [
            zone
            for zone, end in self._spot_unavailable_until.items()
            if end > now
        ]
        targets = choose_targets(
            configured.scaling, self._baseline, demand, spot_unavailable
        )
        for key, amount in targets.items():
            if self._is_due(key, amount, counts, configured.scaling):
                self._send_order(key, amount)

    def _compute_demand(self) -> float:
        """Return how many upstreams the largest recent bursts would fill.

        Adds up the peaks of the models, because each has its own upstreams.
        """
        now = self._clock.now()
        for model, amount in self._count_open().items():
            peaks = self._peaks.setdefault(model, deque())
            while peaks and peaks[-1][1] <= amount:
                peaks.pop()
            peaks.append((now, amount))
        for recent in self._peaks.values():
            while recent and now - recent[0][0] > PEAK_SECONDS:
                recent.popleft()
        items = sum(each[0][1] for each in self._peaks.values() if each)
        return items / max(self._count_slots(), 1)

    def _count_upstreams(
        self, scaling: Scaling
    ) -> dict[ZoneId, UpstreamCounts]:
        counts = {zone: UpstreamCounts() for zone in scaling.zone_prices}
        for upstream in self._upstreams.serving(self._service):
            count = counts.setdefault(upstream.zone, UpstreamCounts())
            count.spot += upstream.spot
            count.regular += not upstream.spot
        for zone, count in counts.items():
            self._update_baseline(zone, count.regular)
        return counts

    def _update_baseline(self, zone: ZoneId, regular: int) -> None:
        """Raise a zone's baseline to the largest number of regular upstreams.

        Registrations arrive one by one while an instance starts, and some
        upstreams are away at any moment: with the current number as baseline,
        the platform would remove the others. After the first order for a zone
        the baseline stays, as the number may then include regular upstreams
        that replace spot ones.
        """
        if (zone, CapacityType.REGULAR) not in self._ordered:
            self._baseline[zone] = max(self._baseline.get(zone, 0), regular)

    def _is_due(
        self,
        key: _Key,
        amount: int,
        counts: dict[ZoneId, UpstreamCounts],
        scaling: Scaling,
    ) -> bool:
        zone, kind = key
        count = counts.get(zone, UpstreamCounts())
        current = count.spot if kind is CapacityType.SPOT else count.regular
        if self._ordered.get(key, current) != amount:
            return True
        if current >= amount:
            return False
        elapsed = self._clock.now() - self._ordered_at.get(
            key, self._started_at
        )
        return elapsed > scaling.boot_seconds + OVERDUE_SECONDS

    def _send_order(self, key: _Key, amount: int) -> None:
        if not self._lease.may_order():
            acquire_for_orders(self._lease, self._clock)
        if not self._lease.may_order():
            return
        zone, kind = key
        order = ScaleOrder(
            service=self._service,
            zone=zone,
            spot=kind is CapacityType.SPOT,
            amount=amount,
        )
        holder = LeaseHolder(self._me, self._lease.generation)
        answer = self._client.order(holder, order)
        now = self._clock.now()
        self._ordered[key] = amount
        self._ordered_at[key] = now
        accepted = answer is DutyAnswer.ACCEPTED
        if not accepted and kind is CapacityType.SPOT:
            self._spot_unavailable_until[zone] = now + SPOT_UNAVAILABLE_SECONDS
        write(
            _LOGGER,
            events.SCALE_ORDERED if accepted else events.SCALE_FAILED,
            service=self._service,
            zone=zone,
            kind=kind.value,
            amount=amount,
            answer=answer.value,
            generation=holder.generation,
        )
