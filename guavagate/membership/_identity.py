"""The membership state of this instance and datagrams that carry it."""

import logging
from typing import Final

from guavagate.events import fleet, write
from guavagate.membership._gossip import UPDATES_PER_PACKET, Gossip
from guavagate.membership._packet import (
    WIRE_VERSION,
    MemberState,
    Packet,
    PacketType,
    Update,
    describe_contact,
)
from guavagate.models import InstanceId
from guavagate.settings import PeerSettings

_LOGGER: Final = logging.getLogger(__name__)
_NO_TARGET: Final = InstanceId('')


class Identity:
    """The state, incarnation and facts of this instance.

    Parameters
    ----------
    boot
        Milliseconds since the epoch at this process's start, by a time of day
        that may be wrong or have been set back. It is also the first
        incarnation, but orders no two processes: `refute` does.
    """

    def __init__(self, me: PeerSettings, boot: int) -> None:
        self.me = me
        self.boot = boot
        self.contact = describe_contact(me, boot)
        self.state = MemberState.ALIVE
        self.incarnation = boot
        self.superseded = False
        self.facts: dict[str, bytes] = {}
        self.gossip = Gossip()
        self.announce()

    def describe(self) -> Update:
        """Return this instance's claim about itself."""
        return Update(
            self.me.id,
            self.state.value,
            self.incarnation,
            self.me.id,
            self.contact,
        )

    def announce(self) -> None:
        """Gossip this instance's claim about itself."""
        self.gossip.add(self.describe())

    def change_state(self, state: MemberState) -> None:
        """Change this instance's state and announce it."""
        self.state = state
        self.incarnation += 1
        self.announce()

    def refute(self, claim: Update, *, is_new: bool) -> None:
        """Overrule a claim by others about this instance.

        A claim that names a later process under the same id stands: the
        platform replaced this process while it was paused. If both overruled
        each other, members would use them alternately. Which of two processes
        is the later one is decided without their clocks:

        - Only one process at a time can listen at an address, so another one
          with the own address came before.
        - A new process has been started in place of whatever is known.
        - A process that all have given up does not work any more.

        Parameters
        ----------
        is_new
            Whether this process has started just now.
        """
        if claim.incarnation < self.incarnation:
            return
        if not (is_new or self._is_earlier(claim)):
            self._set_superseded(superseded=True)
            return
        self._set_superseded(superseded=False)
        is_own_contact = claim.contact in {None, self.contact}
        if is_own_contact and claim == self._describe_in_terms_of(claim):
            return
        self.incarnation = claim.incarnation + 1
        self.announce()

    def build_packet(
        self,
        act: PacketType,
        member_count: int,
        updates: tuple[Update, ...] = (),
        *,
        unknown: bool = False,
        target: InstanceId = _NO_TARGET,
        sequence: int = 0,
        address: str = '',
    ) -> Packet:
        """Return a datagram; gossip fills its remaining capacity."""
        included = {update.id for update in updates}
        gossip = self.gossip.take(
            member_count, UPDATES_PER_PACKET - len(updates)
        )
        extra = tuple(each for each in gossip if each.id not in included)
        return Packet(
            version=WIRE_VERSION,
            act=act,
            sender=self.me.id,
            state=self.state.value,
            incarnation=self.incarnation,
            boot=self.boot,
            sequence=sequence,
            target=target,
            address=address,
            unknown=unknown,
            updates=updates + extra,
            facts=self.facts
            if act in {PacketType.PING, PacketType.ACK}
            else {},
        )

    def _describe_in_terms_of(self, claim: Update) -> Update:
        """Return the own state with the source and contact of a claim.

        It equals the claim if the claim states nothing that is wrong.
        """
        return Update(
            self.me.id,
            self.state.value,
            self.incarnation,
            claim.by,
            claim.contact,
        )

    def _is_earlier(self, claim: Update) -> bool:
        """Return whether a claim is about this process or an ended one."""
        other = claim.contact
        if other is None or claim.state == MemberState.DEAD.value:
            return True
        return other.peer_address == self.me.peer_address

    def _set_superseded(self, *, superseded: bool) -> None:
        if superseded != self.superseded:
            event = fleet.SUPERSEDED if superseded else fleet.RESUMED
            write(_LOGGER, event, instance=self.me.id)
        self.superseded = superseded
