"""Orders a service's upstreams, as its owner, under the service's lease."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock, Task
from guavagate.duties._targets import (
    CapacityType,
    Fleet,
    Targets,
    choose_targets,
)
from guavagate.events import duties as events
from guavagate.events import write
from guavagate.exceptions import StoreUnavailableError
from guavagate.models import InstanceId, ServiceId, ZoneId
from guavagate.ports.configuration import Scaling
from guavagate.ports.duties import DutyAnswer, DutyClient, Holder, ScaleOrder
from guavagate.rollouts import Lease, LeaseHeldError, acquire_for_orders
from guavagate.routing import RouteTable, UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

LOOK_SECONDS: Final = 0.5
# What was asked for counts for so long: some steps, so that a trainer that
# stops, or is slow once, does not have upstreams come and go.
PEAK_SECONDS: Final = 30.0
# How long regular ones stand in where none that may be reclaimed were had.
OUT_SECONDS: Final = 20.0
# Beyond the boot of what was ordered; then the order seems lost.
OVERDUE_SECONDS: Final = 2.0

CountOpen = Callable[[], dict[str, int]]
_Key = tuple[ZoneId, CapacityType]


class Scaler:
    """Brings a service's upstreams to the number that its steps ask for.

    Parameters
    ----------
    count_open
        Returns the items by model that are not done.
    count_slots
        Returns the slots of an upstream.
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
        self._base: dict[ZoneId, int] = {}
        self._ordered: Targets = {}
        self._ordered_at: dict[_Key, float] = {}
        self._out_until: dict[ZoneId, float] = {}
        self._began_at = float(0)
        self._task: Task | None = None

    def start(self) -> None:
        """Begin to order."""
        if self._task is None:
            self._began_at = self._clock.now()
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Order nothing more; what is there stays."""
        if self._task is None:
            return
        self._task.kill(block=False)
        self._task = None
        self._base.clear()
        self._ordered.clear()
        self._ordered_at.clear()

    def _run(self) -> None:
        while True:
            self._clock.sleep(LOOK_SECONDS)
            try:
                self._look()
            except (LeaseHeldError, StoreUnavailableError) as error:
                _LOGGER.debug('no upstreams are ordered now: %s', error)

    def _look(self) -> None:
        described = self._routes.find_service(self._service)
        if described is None or described.scaling is None:
            return
        now = self._clock.now()
        wanted = self._measure_wanted()
        fleets = self._count_fleets(described.scaling)
        if now - self._began_at < PEAK_SECONDS:
            # Nothing is known of the bursts yet. One that finds too few slots
            # is late, and its trainer's next ones with it; some idle ones for
            # half a minute cost less.
            wanted = max(wanted, described.scaling.most * len(fleets))
        out = [zone for zone, end in self._out_until.items() if end > now]
        targets = choose_targets(described.scaling, self._base, wanted, out)
        for key, amount in targets.items():
            if self._is_due(key, amount, fleets, described.scaling):
                self._order(key, amount)

    def _measure_wanted(self) -> float:
        """Return how many upstreams the largest recent bursts would fill.

        Of each model by itself, as each has upstreams of its own.
        """
        now = self._clock.now()
        for model, amount in self._count_open().items():
            peaks = self._peaks.setdefault(model, deque())
            while peaks and peaks[-1][1] <= amount:
                peaks.pop()
            peaks.append((now, amount))
        for seen in self._peaks.values():
            while seen and now - seen[0][0] > PEAK_SECONDS:
                seen.popleft()
        items = sum(each[0][1] for each in self._peaks.values() if each)
        return items / max(self._count_slots(), 1)

    def _count_fleets(self, scaling: Scaling) -> dict[ZoneId, Fleet]:
        fleets = {zone: Fleet() for zone in scaling.zone_prices}
        for upstream in self._upstreams.serving(self._service):
            fleet = fleets.setdefault(upstream.zone, Fleet())
            fleet.spot += upstream.spot
            fleet.regular += not upstream.spot
        for zone, fleet in fleets.items():
            self._note_base(zone, fleet.regular)
        return fleets

    def _note_base(self, zone: ZoneId, regular: int) -> None:
        """Take the most that were there for what is to stay.

        Registrations come one by one as an instance starts, and some are away
        at any moment: what is there just now would have the others taken away.
        Once some were ordered here, those that stand in are among them.
        """
        if (zone, CapacityType.REGULAR) not in self._ordered:
            self._base[zone] = max(self._base.get(zone, 0), regular)

    def _is_due(
        self,
        key: _Key,
        amount: int,
        fleets: dict[ZoneId, Fleet],
        scaling: Scaling,
    ) -> bool:
        zone, kind = key
        fleet = fleets.get(zone, Fleet())
        there = fleet.spot if kind is CapacityType.SPOT else fleet.regular
        if self._ordered.get(key, there) != amount:
            return True
        if there >= amount:
            return False
        since = self._clock.now() - self._ordered_at.get(key, self._began_at)
        return since > scaling.boot + OVERDUE_SECONDS

    def _order(self, key: _Key, amount: int) -> None:
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
        holder = Holder(self._me, self._lease.generation)
        answer = self._client.order(holder, order)
        now = self._clock.now()
        self._ordered[key] = amount
        self._ordered_at[key] = now
        taken = answer is DutyAnswer.TAKEN
        if not taken and kind is CapacityType.SPOT:
            self._out_until[zone] = now + OUT_SECONDS
        write(
            _LOGGER,
            events.SCALE_ORDERED if taken else events.SCALE_FAILED,
            service=self._service,
            zone=zone,
            kind=kind.value,
            amount=amount,
            answer=answer.value,
            generation=holder.generation,
        )
