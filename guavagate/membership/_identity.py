"""What this instance says of itself, and the datagrams that say it."""

import logging
from typing import Final

from guavagate.events import fleet, write
from guavagate.membership._gossip import UPDATES_PER_PACKET, Gossip
from guavagate.membership._packet import (
    WIRE_VERSION,
    Act,
    MemberState,
    Packet,
    Update,
    describe_contact,
)
from guavagate.models import InstanceId
from guavagate.settings import PeerSettings

_LOGGER: Final = logging.getLogger(__name__)
_NOBODY: Final = InstanceId('')


class Identity:
    """What this instance is: its state, incarnation and facts.

    Parameters
    ----------
    boot
        Milliseconds since the epoch at this process's start; the first
        incarnation too, so a restarted process outranks its predecessor.
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
        """Return the claim about this instance itself."""
        return Update(
            self.me.id,
            self.state.value,
            self.incarnation,
            self.me.id,
            self.contact,
        )

    def announce(self) -> None:
        """Spread the claim about this instance."""
        self.gossip.add(self.describe())

    def change(self, state: MemberState) -> None:
        """Take another state, and say so."""
        self.state = state
        self.incarnation += 1
        self.announce()

    def refute(self, claim: Update) -> None:
        """Overrule a claim about this instance that is not its own.

        One that names a process started later under the same id is not
        overruled: the platform has replaced this one while it was paused,
        and two that overrule each other would both be used in turn.
        """
        if claim.incarnation < self.incarnation:
            return
        other = claim.contact
        if other is not None and other.boot > self.boot:
            self._yield_id()
            return
        mine = other is None or other == self.contact
        if mine and claim == self._echo(claim):
            return
        self.incarnation = claim.incarnation + 1
        self.announce()

    def write_packet(
        self,
        act: Act,
        members: int,
        updates: tuple[Update, ...] = (),
        *,
        unknown: bool = False,
        target: InstanceId = _NOBODY,
        sequence: int = 0,
        address: str = '',
    ) -> Packet:
        """Return a datagram; claims fill the room that is left in it."""
        told = {update.id for update in updates}
        spread = self.gossip.take(members, UPDATES_PER_PACKET - len(updates))
        extra = tuple(each for each in spread if each.id not in told)
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
            facts=self.facts if act in {Act.PING, Act.ACK} else {},
        )

    def _echo(self, claim: Update) -> Update:
        """Return this instance's own claim in the form of another's."""
        return Update(
            self.me.id,
            self.state.value,
            self.incarnation,
            claim.by,
            claim.contact,
        )

    def _yield_id(self) -> None:
        if not self.superseded:
            write(_LOGGER, fleet.SUPERSEDED, instance=self.me.id)
        self.superseded = True
