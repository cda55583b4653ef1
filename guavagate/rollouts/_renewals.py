"""Renewals of leases as their holders tell them to who may come after them.

A successor has to wait until the former holder's last order is a lease time
old. From the store it learns who held the lease, not when that one renewed it,
so it would wait the whole time, and samplers would stay on old weights for four
seconds. One that heard of the newest renewal counts from there.
"""

from collections.abc import Callable
from typing import Final

from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.util.boot_clock import read_boot_clock

# Who is told of each renewal: two that fail at once leave one that has heard.
MAX_SUCCESSORS: Final = 3


class LeaseRenewed(Message, frozen=True, kw_only=True):
    """A holder's renewal, by what it writes to the store."""

    path: str
    generation: int
    nonce: str


class Renewals:
    """What was heard of leases, and when, by the boot clock.

    Parameters
    ----------
    boot_clock
        Goes on while this machine is suspended.
    """

    def __init__(
        self, bus: Bus, boot_clock: Callable[[], float] = read_boot_clock
    ) -> None:
        self._bus = bus
        self._now = boot_clock
        self._heard: dict[str, tuple[LeaseRenewed, float]] = {}
        bus.register(LeaseRenewed, self._on_renewed)

    def tell(self, renewed: LeaseRenewed, peers: list[InstanceId]) -> None:
        """Tell who may come after this holder of a renewal."""
        for peer in peers:
            self._bus.send(peer, renewed)

    def find(self, newest: LeaseRenewed) -> float | None:
        """Return when a renewal was heard of that is the store's newest.

        A renewal that was not heard of leaves another nonce in the store, and
        what was heard before says nothing about its orders.
        """
        heard, at = self._heard.get(newest.path, (None, 0))
        return at if heard == newest else None

    def _on_renewed(self, _: InstanceId, message: Message) -> None:
        renewed = expect(message, LeaseRenewed)
        self._heard[renewed.path] = (renewed, self._now())
