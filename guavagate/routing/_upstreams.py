"""Chooses among the registered upstreams, and checks them before use."""

import random
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamExcludedError
from guavagate.models import (
    ANYWHERE,
    Regions,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from guavagate.ports.upstreams import Upstream
from guavagate.routing._choice import (
    IsConnected,
    Load,
    choose_upstream,
    has_no_connection,
    is_failing_probes,
)
from guavagate.routing._eligibility import Eligibility, Obstacle
from guavagate.routing._outage import (
    are_all_failing,
    compute_retry_after,
    is_unavailable,
    list_eligible,
)
from guavagate.routing._registrations import Registrations
from guavagate.routing._start_gate import OpenGate, StartGate
from guavagate.routing._tiers import MeasureZones, ZoneCosts, measure_nothing

# An upstream that ended has started again by then, or has lapsed.
RETURN_SECONDS: Final = 5.0


class UpstreamTable(Registrations):
    """Upstreams by service; new work goes to those that are eligible.

    Parameters
    ----------
    zone
        The zone of this instance, whose upstreams are preferred.
    is_connected
        Returns whether this instance has an idle connection to an address;
        upstreams at such addresses are preferred.
    eligibility
        Decides which upstreams may get new work.
    measure_zones
        Returns the round trips to other zones in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        zone: ZoneId,
        rng: random.Random | None = None,
        is_connected: IsConnected = has_no_connection,
        eligibility: Eligibility | None = None,
        measure_zones: MeasureZones = measure_nothing,
    ) -> None:
        self.eligibility = eligibility or Eligibility()
        self.gate: StartGate = OpenGate()
        self._is_connected = is_connected
        super().__init__(clock)
        self._zone = zone
        self._zone_costs = ZoneCosts(
            zone, clock, self.eligibility, measure_zones
        )
        self._random = rng or random.Random()
        self._ended_at: dict[ServiceId, float] = {}
        self._unavailable_since: dict[ServiceId, float] = {}
        self._on_zone_return: list[Callable[[ZoneId], None]] = []
        self._on_stopped: list[Callable[[Obstacle], None]] = []

    def subscribe_zone_returns(
        self, callback: Callable[[ZoneId], None]
    ) -> None:
        """Call `callback`, which must not block, with each zone that returns.

        It is called before the zone's upstreams may be used again. All of them
        may have started anew while the zone was evacuated.
        """
        self._on_zone_return.append(callback)

    def subscribe_stopped(self, callback: Callable[[Obstacle], None]) -> None:
        """Call `callback`, which must not block, for each stopped request."""
        self._on_stopped.append(callback)

    def set_evacuated(
        self, zones: frozenset[ZoneId], *, awaited: bool = False
    ) -> None:
        """Set the evacuated zones, and whether these are still unknown."""
        for zone in sorted(self.eligibility.evacuated - zones):
            for callback in self._on_zone_return:
                callback(zone)
        self.eligibility.evacuated = zones
        self.eligibility.awaits_evacuations = awaited
        self._notify()

    def serving(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> list[Upstream]:
        """Return the upstreams of a service that a request may use."""
        return [
            each
            for each in self._all.values()
            if each.service == service
            and self.eligibility.find_obstacle(each, regions) is None
        ]

    def explain(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> Obstacle | None:
        """Return why a request may use no upstream of a service, if so."""
        listed = (
            each for each in self._all.values() if each.service == service
        )
        obstacle = self.eligibility.explain(listed, regions)
        if obstacle is None and self.gate.find_retry_after(service) is not None:
            return Obstacle.WARMING_UP
        return obstacle

    def find_obstacle(
        self, upstream: Upstream, regions: Regions = ANYWHERE
    ) -> Obstacle | None:
        """Return why a request may not use an upstream now, or `None`.

        Its newest registration counts, not the one at hand.
        """
        newest = self._all.get(upstream.id, upstream)
        return self.eligibility.find_obstacle(newest, regions)

    def check(
        self,
        upstream: Upstream,
        regions: Regions = ANYWHERE,
        *,
        starts: bool = False,
    ) -> None:
        """Check an upstream right before a request is sent to it.

        A request that was placed a moment earlier would otherwise reach an
        upstream that may not be used any more.

        Parameters
        ----------
        starts
            Whether the request counts as a start, which needs a permit where
            the service limits starts.

        Raises
        ------
        UpstreamExcludedError
            The request may not use the upstream.
        """
        obstacle = self.find_obstacle(upstream, regions)
        if obstacle is None and self.eligibility.may_be_outdated():
            obstacle = Obstacle.EVACUATED
        if obstacle is None and starts and not self.gate.may_send(upstream):
            obstacle = Obstacle.WARMING_UP
        if obstacle is not None:
            for callback in self._on_stopped:
                callback(obstacle)
            raise UpstreamExcludedError(
                f'{upstream.id} may not be used: {obstacle.value}',
                'no action needed; another upstream is used',
            )

    def choose(
        self,
        service: ServiceId,
        tried: set[UpstreamId],
        *,
        lasting: bool = False,
        preferred: UpstreamId | None = None,
        regions: Regions = ANYWHERE,
        hedge: bool = False,
    ) -> Upstream | None:
        """Return the upstream for one more request, among those not tried.

        Returns None while the whole service is unavailable and none of its
        upstreams may be tried, and while none may get a further request. May
        wait for another instance's permission where the service limits starts.

        Parameters
        ----------
        lasting
            Whether the work lasts for seconds, longer than reported slowdowns.
        preferred
            The upstream to choose if it is usable.
        regions
            The regions that the request may use.
        hedge
            Whether the request already runs at another upstream.
        """
        if self.gate.applies(service):
            return self.gate.choose(
                service,
                tried,
                lasting=lasting,
                preferred=preferred,
                regions=regions,
                hedge=hedge,
            )
        return self.rank_first(
            service,
            tried,
            lasting=lasting,
            preferred=preferred,
            regions=regions,
        )

    def rank_first(
        self,
        service: ServiceId,
        tried: set[UpstreamId],
        *,
        lasting: bool = False,
        preferred: UpstreamId | None = None,
        regions: Regions = ANYWHERE,
    ) -> Upstream | None:
        """Return the best upstream by load, whether or not it may start."""
        now = self._clock.now()
        serving = self.serving(service, regions)
        eligible = list_eligible(serving, self._loads, now)
        self._note_availability(service, serving, now)
        candidates = [each for each in eligible if each.id not in tried]
        chosen = choose_upstream(
            candidates,
            self._loads,
            self._zone,
            now,
            self._random,
            self._is_connected,
            lasting=lasting,
            preferred=preferred,
            get_zone_cost=self._zone_costs.get,
        )
        if chosen is not None and is_failing_probes(
            self._loads[chosen.id], now
        ):
            self._loads[chosen.id].trial_at = now
        return chosen

    def is_unavailable(self, service: ServiceId) -> bool:
        """Return whether all upstreams of a service are unresponsive."""
        return is_unavailable(self._list_loads(service), self._clock.now())

    def is_failing_probes(self, service: ServiceId) -> bool:
        """Return whether no upstream of a service answers a probe."""
        return are_all_failing(self._list_loads(service), self._clock.now())

    def compute_retry_after(self, service: ServiceId) -> float:
        """Return when a caller refused by the whole service should return."""
        limited = self.gate.find_retry_after(service)
        if limited is not None:
            return limited
        now = self._clock.now()
        since = self._unavailable_since.setdefault(service, now)
        return compute_retry_after(now - since, self._random)

    def _list_loads(self, service: ServiceId) -> list[Load]:
        return [self.load(each.id) for each in self.serving(service)]

    def _note_availability(
        self, service: ServiceId, serving: list[Upstream], now: float
    ) -> None:
        loads = [self._loads[each.id] for each in serving]
        if loads and not is_unavailable(loads, now):
            self._unavailable_since.pop(service, None)
        else:
            self._unavailable_since.setdefault(service, now)

    def forget_failed_probes(self, service: ServiceId) -> None:
        """Have a service's upstreams tried again, as they are said to work."""
        for load in self._list_loads(service):
            load.probe_failed_at = load.answered_at

    def record_end(self, upstream: UpstreamId, incarnation: int) -> None:
        """Eject an upstream that has ended, though it is still registered.

        Its registration lapses after seconds. Until then each instance would
        learn from refused connections of its own, and a request that meets two
        of several ended upstreams is refused while the others are idle.
        """
        registered = self._all.get(upstream)
        if registered is None or registered.incarnation != incarnation:
            return
        if self._eject_ended(upstream):
            self._ended_at[registered.service] = self._clock.now()

    def compute_return_wait(self, service: ServiceId) -> float:
        """Return the seconds until ended upstreams of a service may be back.

        0 unless some have just ended and at most one is left.
        """
        now = self._clock.now()
        wait = self._ended_at.get(service, -RETURN_SECONDS) + RETURN_SECONDS
        if wait <= now:
            return 0
        left = [
            each
            for each in self.serving(service)
            if self.load(each.id).ejected_until <= now
        ]
        return wait - now if len(left) <= 1 else 0
