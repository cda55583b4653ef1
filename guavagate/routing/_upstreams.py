"""The upstreams in use, with what this instance knows of each."""

import logging
import random
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.decisions.background import follow_callers
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing._choice import (
    IsConnected,
    Load,
    choose_upstream,
    has_no_connection,
)
from guavagate.routing._outage import list_eligible

_LOGGER: Final = logging.getLogger(__name__)

# Two failures in a row are no accident at the usual rate of lost answers (a
# few in a hundred); one alone only makes others preferred.
EJECT_FAILURES: Final = 2
EJECT_SECONDS: Final = 1.0
EJECT_LONGEST: Final = 4.0
LATENCY_SHARE: Final = 0.2


class UpstreamTable:
    """Upstreams by service; leaving ones get no new work.

    Parameters
    ----------
    zone
        Where this instance runs; near upstreams are preferred.
    is_connected
        Whether an idle connection to an address is kept; those are preferred.
    """

    def __init__(
        self,
        clock: Clock,
        zone: ZoneId,
        rng: random.Random | None = None,
        is_connected: IsConnected = has_no_connection,
    ) -> None:
        self._is_connected = is_connected
        self._clock = clock
        self._zone = zone
        self._random = rng or random.Random()
        self._all: dict[UpstreamId, Upstream] = {}
        self._loads: dict[str, Load] = {}
        self._incarnations: dict[UpstreamId, int] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._on_restart: list[Callable[[Upstream], None]] = []
        self._on_left: list[Callable[[str], None]] = []

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back, without blocking, after each change."""
        self._subscribers.append(changed)

    def subscribe_restarts(self, restarted: Callable[[Upstream], None]) -> None:
        """Call back, without blocking, when an upstream has started again."""
        self._on_restart.append(restarted)

    def subscribe_address_released(self, left: Callable[[str], None]) -> None:
        """Call back, without blocking, with an address that one has left.

        Another upstream may be there soon; connections to it are not kept.
        """
        self._on_left.append(left)

    def put(self, upstream: Upstream) -> None:
        """Take in what an upstream registered."""
        held = self._all.get(upstream.id)
        self._all[upstream.id] = upstream
        if held is None or held.leaving != upstream.leaving:
            write(
                _LOGGER,
                events.UPSTREAM_LEAVING
                if upstream.leaving
                else events.UPSTREAM_IN_USE,
                upstream=upstream.id,
                service=upstream.service,
                address=upstream.address,
            )
        if held is not None and held.address != upstream.address:
            self._tell_left(held)
        self._note_start(upstream)
        self._tell()

    def _note_start(self, upstream: Upstream) -> None:
        """Forget what is known of an upstream that has started again.

        Its load, failures and connections were the former start's. A
        registration of the former start may come late, so only a later start
        counts as a new one; where the upstream's clock was set back, its
        reports tell, which are asked for and can not be so old.
        """
        before = self._incarnations.get(upstream.id, 0)
        self._incarnations[upstream.id] = max(before, upstream.incarnation)
        if not before or upstream.incarnation <= before:
            return
        self._loads.pop(upstream.id, None)
        write(
            _LOGGER,
            events.UPSTREAM_RESTARTED,
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            before=before,
        )
        for restarted in self._on_restart:
            restarted(upstream)

    def remove(self, upstream: UpstreamId) -> None:
        """Take an upstream out of use."""
        gone = self._all.pop(upstream, None)
        self._loads.pop(upstream, None)
        if gone is not None:
            write(_LOGGER, events.UPSTREAM_GONE, upstream=upstream)
            self._tell_left(gone)
            self._tell()

    def get(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream that is registered, or nothing."""
        return self._all.get(upstream)

    def all(self) -> list[Upstream]:
        """Return every registered upstream."""
        return list(self._all.values())

    def serving(self, service: ServiceId) -> list[Upstream]:
        """Return what may be given work of a service."""
        return [
            each
            for each in self._all.values()
            if each.service == service and not each.leaving
        ]

    def choose(
        self, service: ServiceId, tried: set[UpstreamId]
    ) -> Upstream | None:
        """Return where one more request goes, among those not tried.

        Nothing while the whole service is dark and each of its upstreams is
        being asked already.
        """
        askable = list_eligible(self.serving(service), self._loads)
        candidates = [each for each in askable if each.id not in tried]
        return choose_upstream(
            candidates,
            self._loads,
            self._zone,
            self._clock.now(),
            self._random,
            self._is_connected,
        )

    def load(self, upstream: UpstreamId) -> Load:
        """Return what is known of an upstream's load."""
        return self._loads.setdefault(upstream, Load())

    def record_report(self, upstream: UpstreamId, busy: int) -> None:
        """Take in the load that came with an answer."""
        load = self.load(upstream)
        load.reported_busy = busy
        load.reported_at = self._clock.now()
        load.foreground_slots = follow_callers(
            load.foreground_slots, busy, load.in_flight
        )

    def record_success(self, upstream: UpstreamId, seconds: float) -> None:
        """Note an answer, whatever it says."""
        load = self.load(upstream)
        load.failures = 0
        load.timeouts = 0
        share = LATENCY_SHARE if load.latency else 1
        load.latency += (seconds - load.latency) * share

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Note that a request got nothing in all the time that it had."""
        self.load(upstream).timeouts += 1

    def record_failure(self, upstream: UpstreamId) -> None:
        """Note that a request broke off or got no answer."""
        load = self.load(upstream)
        load.failures += 1
        if load.failures < EJECT_FAILURES:
            return
        doubled = EJECT_SECONDS * 2 ** (load.failures - EJECT_FAILURES)
        seconds = min(doubled, EJECT_LONGEST)
        load.ejected_until = self._clock.now() + seconds
        write(
            _LOGGER,
            events.UPSTREAM_EJECTED,
            upstream=upstream,
            failures=load.failures,
            seconds=seconds,
        )

    def _tell_left(self, upstream: Upstream) -> None:
        for left in self._on_left:
            left(upstream.address)

    def _tell(self) -> None:
        for changed in self._subscribers:
            changed()
