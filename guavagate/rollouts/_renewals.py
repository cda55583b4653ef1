"""Announces lease renewals to the possible successors of a holder.

A successor has to wait until the previous holder's last order is a lease time
old. The store tells it who held the lease, but not when the holder renewed it,
so the successor would wait for the full lease time, and samplers would keep old
weights for four seconds. A successor that received the newest renewal counts
from the time at which it arrived.
"""

from collections.abc import Callable
from typing import Final

from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.util.boot_clock import read_boot_clock

# How many instances receive each renewal: with three, one remains when two
# fail at the same time.
MAX_SUCCESSORS: Final = 3


class LeaseRenewed(Message, frozen=True, kw_only=True):
    """A lease renewal, identified by the record written to the store."""

    path: str
    generation: int
    nonce: str


class Renewals:
    """Sends lease renewals, and records received ones with their arrival time.

    Parameters
    ----------
    boot_clock
        A clock that continues while this machine is suspended.
    """

    def __init__(
        self, bus: Bus, boot_clock: Callable[[], float] = read_boot_clock
    ) -> None:
        self._bus = bus
        self._now = boot_clock
        self._received: dict[str, tuple[LeaseRenewed, float]] = {}
        bus.register(LeaseRenewed, self._on_renewed)

    def send(self, renewed: LeaseRenewed, peers: list[InstanceId]) -> None:
        """Send a renewal to the possible successors of this holder."""
        for peer in peers:
            self._bus.send(peer, renewed)

    def find_received_at(self, newest: LeaseRenewed) -> float | None:
        """Return when the store's newest renewal arrived here, or None.

        A missed renewal leaves another nonce in the store, and the renewals
        received before it tell nothing about the orders that it allowed.
        """
        received, at = self._received.get(newest.path, (None, 0))
        return at if received == newest else None

    def _on_renewed(self, _: InstanceId, message: Message) -> None:
        renewed = expect(message, LeaseRenewed)
        self._received[renewed.path] = (renewed, self._now())
