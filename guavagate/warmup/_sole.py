"""Proves that this instance is the only one with a service's whole budget.

The lease for orders is renewed only while orders are sent. The whole budget
needs the same proof at other times, so it is renewed here too. Without the
proof the budget is smaller, and nothing stops.
"""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock, Task
from guavagate.exceptions import StoreUnavailableError
from guavagate.rollouts import Lease, LeaseHeldError, acquire_for_orders
from guavagate.warmup._limits import PERMIT_SECONDS, WINDOW_SECONDS

_LOGGER: Final = logging.getLogger(__name__)

RENEWAL_SECONDS: Final = 0.7
# How long a holder whose lease was taken leaves it to the other one. Views of
# the members agree by then; two that take it in turns would prove nothing.
HELD_SECONDS: Final = 10.0
# The starts before the proof ends must be outside the window of a successor,
# which waits until the lease has ended.
MARGIN_SECONDS: Final = WINDOW_SECONDS + PERMIT_SECONDS


class SoleProof:
    """Renews the lease of a service that has a warm-up."""

    def __init__(
        self, clock: Clock, lease: Lease, applies: Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._applies = applies
        self._task: Task | None = None
        self._acquire_at = clock.now()

    def start(self) -> None:
        """Start to renew the lease."""
        if self._task is None:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop renewing the lease; its owner releases it."""
        if self._task is not None:
            self._task.kill(block=False)
            self._task = None

    def is_sole(self) -> bool:
        """Return whether no other instance can have this proof now."""
        return self._task is not None and self._lease.is_proven(MARGIN_SECONDS)

    def _run(self) -> None:
        while True:
            if self._applies():
                self._renew_if_held()
            self._clock.sleep(RENEWAL_SECONDS)

    def _renew_if_held(self) -> None:
        if self._lease.held or self._clock.now() >= self._acquire_at:
            self._renew()

    def _renew(self) -> None:
        try:
            acquire_for_orders(self._lease, self._clock)
            # Taking the lease without a wait is no proof yet; a renewal is.
            if not self._lease.is_proven(MARGIN_SECONDS):
                self._lease.acquire_or_renew()
        except LeaseHeldError:
            _LOGGER.debug('another instance holds the lease')
            self._acquire_at = self._clock.now() + HELD_SECONDS
        except StoreUnavailableError as error:
            _LOGGER.debug('cannot renew the lease: %s', error)
