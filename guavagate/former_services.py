"""Decides how long a service whose routes have moved keeps its job owner.

A job stays with the service that it was accepted for: another one may run
requests of another route on samplers that no configuration allows. So a service
keeps its owner until its open jobs have ended, although no route names it.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.models import ServiceId
from guavagate.routing import RouteTable

_LOGGER: Final = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS: Final = 1.0
# Entries whose configuration lags still accept jobs for the former service, and
# their announcements are kept for this time.
LINGER_SECONDS: Final = 30.0


class FormerServices:
    """Gives former job services up once nothing is left to do for them.

    Parameters
    ----------
    retention
        Seconds after which each instance gives a former service up, unless it
        works on open jobs itself.
    count_open
        Returns how many open jobs this instance works on for a service, or
        `None` if it doesn't own the service or hasn't loaded its jobs yet.
    list_owned
        Returns the services that had an owner according to the store.
    on_change
        Called after a service was added or given up.
    """

    def __init__(
        self,
        clock: Clock,
        routes: RouteTable,
        retention: float,
        count_open: Callable[[ServiceId], int | None],
        list_owned: Callable[[], Iterable[ServiceId]],
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._retention = retention
        self._count_open = count_open
        self._list_owned = list_owned
        self._on_change = on_change
        self._since: dict[ServiceId, float] = {}

    def start(self, *, load: bool) -> None:
        """Start to give services up.

        Parameters
        ----------
        load
            Whether to read the former services from the store first. An
            instance that starts after a route has moved knows none.
        """
        if load:
            self._clock.spawn(self._load)
        self._clock.spawn(self._check_periodically)

    def _load(self) -> None:
        while True:
            try:
                owned = self._list_owned()
            except StoreError as error:
                _LOGGER.debug('Failed to read the former services: %s', error)
                self._clock.sleep(CHECK_INTERVAL_SECONDS)
                continue
            self._routes.add_former_job_services(owned)
            self._on_change()
            return

    def _check_periodically(self) -> None:
        while True:
            self._clock.sleep(CHECK_INTERVAL_SECONDS)
            self._check()

    def _check(self) -> None:
        now = self._clock.now()
        former = self._routes.former_job_services()
        self._since = {each: self._since.get(each, now) for each in former}
        given_up = [each for each in former if self._is_over(each, now)]
        for service in given_up:
            self._routes.forget_former_job_service(service)
            write(_LOGGER, events.FORMER_SERVICE_GIVEN_UP, service=service)
        if given_up:
            self._on_change()

    def _is_over(self, service: ServiceId, now: float) -> bool:
        seconds = now - self._since[service]
        open_jobs = self._count_open(service)
        if open_jobs is None:
            return seconds > self._retention
        return not open_jobs and seconds > LINGER_SECONDS
