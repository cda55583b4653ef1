"""Scales a service's upstreams from its job owner, under its lease."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from guavagate.clock import Clock, Task
from guavagate.duties._demand import PEAK_SECONDS, BurstDemand
from guavagate.duties._orders import Orders
from guavagate.duties._replaced import ReplacedZones
from guavagate.duties._supply import Key, Supply
from guavagate.duties._targets import (
    CapacityType,
    Targets,
    UpstreamCounts,
    choose_targets,
)
from guavagate.events import duties as events
from guavagate.events import evacuation as evacuation_events
from guavagate.events import write
from guavagate.exceptions import StoreUnavailableError
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId, ServiceId, ZoneId
from guavagate.ports.configuration import RouteKind, Scaling
from guavagate.ports.duties import (
    DutyAnswer,
    DutyClient,
    LeaseHolder,
    ScaleOrder,
)
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import (
    Lease,
    LeaseHeldError,
    TextSeconds,
    acquire_for_orders,
)
from guavagate.routing import RouteTable, UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS: Final = 0.5

CountOpen = Callable[[], dict[str, int]]
EstimateTexts = Callable[[Iterable[Upstream]], dict[str, TextSeconds]]


class Scaler:
    """Adjusts the number of a service's upstreams to the demand of its steps.

    Parameters
    ----------
    count_open
        Returns the number of unfinished items by model.
    count_slots
        Returns the number of slots of an upstream.
    estimate_texts
        Returns how long the texts of each model run; without it, steps are
        taken to need a slot for each item.
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
        estimate_texts: EstimateTexts | None = None,
        metrics: Metrics | None = None,
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
        self._estimate_texts = estimate_texts
        self._metrics = metrics or Metrics()
        self._demand = BurstDemand()
        self._baseline: dict[ZoneId, int] = {}
        self._orders = Orders()
        self._supply = Supply()
        self._restored_generation = 0
        self._replaced = ReplacedZones()
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
        self._orders.clear()
        self._supply.clear()
        self._replaced.clear()
        self._restored_generation = 0

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
        scaling = configured.scaling
        now = self._clock.now()
        counts = self._count_upstreams(scaling)
        self._restore_baseline(counts, now)
        self._watch_supply(counts, scaling, now)
        replaced = self._update_replaced(counts, now)
        retried = [
            zone
            for zone in counts
            if self._supply.is_retry_due((zone, CapacityType.SPOT), now)
        ]
        targets = self._choose_targets(scaling, counts, retried, replaced, now)
        due = self._orders.list_due(
            targets, counts, self._supply, retried, scaling, now
        )
        if due and not self._lease.held:
            # What the former holder noted may change what is due.
            acquire_for_orders(self._lease, self._clock)
            return
        for key, amount in due:
            if self._orders.fits(key, amount, counts, scaling):
                self._send_order(key, amount)

    def _restore_baseline(
        self, counts: dict[ZoneId, UpstreamCounts], now: float
    ) -> None:
        """Take over the baseline of the lease's former holder.

        Its regular upstreams that replace spot ones are no part of it. They are
        released when spot upstreams are available again, which is tried first.
        """
        lease = self._lease
        if not lease.held:
            return
        if lease.generation != self._restored_generation:
            self._restored_generation = lease.generation
            for name, amount in lease.notes.items():
                zone = ZoneId(name)
                self._baseline[zone] = amount
                if counts.get(zone, UpstreamCounts()).regular > amount:
                    self._supply.record_refusal((zone, CapacityType.SPOT), now)
        present = {zone: count.regular for zone, count in counts.items()}
        if not self._orders.has_replacements(self._baseline, present):
            lease.notes = {}

    def _watch_supply(
        self,
        counts: dict[ZoneId, UpstreamCounts],
        scaling: Scaling,
        now: float,
    ) -> None:
        """Update where upstreams are available from those that are there."""
        for key in self._orders.record_counts(counts):
            self._supply.record_arrival(key)
        for zone in self._orders.find_reclaimed(counts):
            count = counts[zone]
            if self._supply.is_available((zone, CapacityType.SPOT)):
                self._supply.record_reclaim(zone, now)
                write(
                    _LOGGER,
                    events.SPOT_RECLAIMED,
                    service=self._service,
                    zone=zone,
                    leaving=count.reclaimed,
                    left=count.spot,
                )
        for key in self._orders.list_missing(counts, scaling, now):
            if self._supply.is_available(key) or self._supply.is_awaited(key):
                retry_at = self._supply.record_refusal(key, now)
                write(
                    _LOGGER,
                    events.ORDER_NOT_EXECUTED,
                    service=self._service,
                    zone=key[0],
                    kind=key[1].value,
                    retry_after=round(retry_at - now, 1),
                )
        self._metrics.set_gauge(
            names.SPOT_UNAVAILABLE, len(self._supply.list_unavailable(counts))
        )

    def _choose_targets(
        self,
        scaling: Scaling,
        counts: dict[ZoneId, UpstreamCounts],
        retried: list[ZoneId],
        replaced: frozenset[ZoneId],
        now: float,
    ) -> Targets:
        self._demand.record(self._count_open(), now)
        demand = self._demand.compute_upstreams(self._count_slots())
        if now - self._started_at < PEAK_SECONDS:
            # The bursts are still unknown. One that gets too few slots is late,
            # and delays the next steps of its trainer; idle upstreams for half
            # a minute cost less.
            demand = max(demand, scaling.max_upstreams * len(counts))
        return choose_targets(
            scaling,
            self._baseline,
            demand,
            self._supply.list_unavailable(counts),
            self._compute_needed(),
            retried,
            {
                zone: self._orders.standing.get((zone, CapacityType.SPOT), 0)
                if self._supply.is_awaited((zone, CapacityType.SPOT))
                else count.spot
                for zone, count in counts.items()
            },
            replaced,
        )

    def _update_replaced(
        self, counts: dict[ZoneId, UpstreamCounts], now: float
    ) -> frozenset[ZoneId]:
        """Return the zones whose upstreams the other zones replace."""
        evacuated = self._upstreams.eligibility.evacuated
        known_at = self._started_at + PEAK_SECONDS
        if self._replaced.update(evacuated, counts, now, known_at):
            write(
                _LOGGER,
                evacuation_events.CAPACITY_REPLACED,
                service=self._service,
                zones=sorted(self._replaced.ids),
            )
        return self._replaced.ids

    def _compute_needed(self) -> float | None:
        """Return the upstreams without which steps would be late, if known."""
        objectives = [
            route.job_objective
            for route in self._routes.routes()
            if route.kind is RouteKind.JOB
            and any(each.service == self._service for each in route.shares)
        ]
        if self._estimate_texts is None or not objectives:
            return None
        texts = self._estimate_texts(self._upstreams.serving(self._service))
        return self._demand.compute_needed(
            texts, self._count_slots(), min(objectives)
        )

    def _count_upstreams(
        self, scaling: Scaling
    ) -> dict[ZoneId, UpstreamCounts]:
        counts = {zone: UpstreamCounts() for zone in scaling.zone_prices}
        for upstream in self._upstreams.registered():
            if upstream.service != self._service:
                continue
            count = counts.setdefault(upstream.zone, UpstreamCounts())
            if upstream.leaving:
                count.reclaimed += upstream.is_reclaimed
            else:
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
        ordered = (zone, CapacityType.REGULAR) in self._orders.standing
        noted = self._lease.held and zone in self._lease.notes
        if not ordered and not noted:
            self._baseline[zone] = max(self._baseline.get(zone, 0), regular)

    def _send_order(self, key: Key, amount: int) -> None:
        if key[1] is CapacityType.REGULAR:
            self._note_baseline(key[0], amount)
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
        accepted = answer is DutyAnswer.ACCEPTED
        retry_at = now
        if accepted or answer is DutyAnswer.UNKNOWN:
            self._orders.record(key, amount, now)
            self._supply.record_acceptance(key, now)
        else:
            retry_at = self._supply.record_refusal(key, now)
        self._metrics.count(
            names.SCALE_ORDERS, kind=kind.value, answer=answer.value
        )
        write(
            _LOGGER,
            events.SCALE_ORDERED if accepted else events.SCALE_FAILED,
            service=self._service,
            zone=zone,
            kind=kind.value,
            amount=amount,
            answer=answer.value,
            retry_after=round(retry_at - now, 1),
            generation=holder.generation,
        )

    def _note_baseline(self, zone: ZoneId, amount: int) -> None:
        """Store the baseline with the lease before replacements are ordered.

        A successor that counted the replacements to the baseline would keep
        them for ever.
        """
        replaced = self._orders.has_replacements(self._baseline, {zone: amount})
        notes = {str(each): count for each, count in self._baseline.items()}
        if replaced and self._lease.notes != notes:
            self._lease.notes = notes
            self._lease.acquire_or_renew()
