"""The registered upstreams, and the subscribers to their changes."""

import logging
from collections.abc import Callable
from typing import Final, TypeAlias

from guavagate.clock import Clock
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.models import UpstreamId
from guavagate.ports.upstreams import Upstream
from guavagate.routing._loads import LoadRecords

_LOGGER: Final = logging.getLogger(__name__)

OnRegistration: TypeAlias = Callable[[Upstream, Upstream | None], None]


class Registrations(LoadRecords):
    """Records registrations; discards loads of restarted and removed ones."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._all: dict[UpstreamId, Upstream] = {}
        self._incarnations: dict[UpstreamId, int] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._on_restart: list[Callable[[Upstream], None]] = []
        self._on_address_released: list[Callable[[str], None]] = []
        self._on_registration: list[OnRegistration] = []

    def subscribe_registrations(self, callback: OnRegistration) -> None:
        """Call `callback`, which must not block, with each registration.

        Its second argument is the registration that it replaces, if any.
        """
        self._on_registration.append(callback)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not block, after each change."""
        self._subscribers.append(callback)

    def subscribe_restarts(self, callback: Callable[[Upstream], None]) -> None:
        """Call `callback`, which must not block, when an upstream restarts."""
        self._on_restart.append(callback)

    def subscribe_address_released(
        self, callback: Callable[[str], None]
    ) -> None:
        """Call `callback`, which must not block, with each released address.

        Another upstream may soon use the address, so pooled connections to it
        must be closed.
        """
        self._on_address_released.append(callback)

    def put(self, upstream: Upstream) -> None:
        """Record an upstream's registration."""
        previous = self._all.get(upstream.id)
        upstream = upstream.set_deadline(previous, self._clock.now())
        self._all[upstream.id] = upstream
        if previous is None or previous.leaving != upstream.leaving:
            write(
                _LOGGER,
                events.UPSTREAM_LEAVING
                if upstream.leaving
                else events.UPSTREAM_IN_USE,
                upstream=upstream.id,
                service=upstream.service,
                address=upstream.address,
            )
        if previous is not None and previous.address != upstream.address:
            self._notify_address_released(previous)
        for callback in self._on_registration:
            callback(upstream, previous)
        self._detect_restart(upstream)
        self._notify()

    def _detect_restart(self, upstream: Upstream) -> None:
        """Discard the load of an upstream that has restarted.

        Its load, failures and connections belong to its previous incarnation. A
        registration of the previous incarnation may arrive late, so only a
        higher incarnation counts as a restart. If the upstream's clock was
        set back, a restart lowers the incarnation and is not detected here. The
        reports that the coordinator requests detect it: unlike a registration,
        a requested report is never from before the request.
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
        for callback in self._on_restart:
            callback(upstream)

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream."""
        removed = self._all.pop(upstream, None)
        self._loads.pop(upstream, None)
        if removed is not None:
            write(_LOGGER, events.UPSTREAM_GONE, upstream=upstream)
            self._notify_address_released(removed)
            self._notify()

    def get(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream, or None if it is not registered."""
        return self._all.get(upstream)

    def registered(self) -> list[Upstream]:
        """Return every registration, for bookkeeping.

        Not for requests: some of them may not be used.
        """
        return list(self._all.values())

    def _notify_address_released(self, upstream: Upstream) -> None:
        for callback in self._on_address_released:
            callback(upstream.address)

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()
