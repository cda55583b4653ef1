"""The failure detector: SWIM-style probes, without any I/O.

It is given datagrams and the time and returns datagrams to send. Each period
it probes one member, in a shuffled round; a member that does not answer is
probed through others before it is suspected, and a suspected one has time to
refute before it is dead. So the cost of a node does not grow with the fleet.

Differences from the published protocol, each for a failure:

- A claim that another is dead counts as a suspicion, unless three could not
  reach it, so an instance that hears nobody can't take healthy ones out of
  use by its word.
- Whoever hears of a suspicion probes the suspect at once (on average ten of
  them in a large fleet), and the probe tells the suspect, who refutes.
- A detector that hears nobody at all accuses nobody for a while.
- A detector that was itself paused starts all its timers anew.
"""

import logging
import random
from collections.abc import Iterable
from typing import Final

from guavagate.events import fleet, write
from guavagate.membership._identity import Identity
from guavagate.membership._join import Joiner
from guavagate.membership._packet import Act, MemberState, Packet, Update
from guavagate.membership._probes import HELPERS, Prober, Send
from guavagate.membership._table import ACCUSED, Member, Table
from guavagate.models import InstanceId
from guavagate.settings import PeerSettings

_LOGGER: Final = logging.getLogger(__name__)

# One probe a period. Over 80 seeds a dead one of nine was out of use at all
# others after 1.9 s (p50) and 2.9 s (worst); with 0.25 s the worst was 3.2 s.
PERIOD: Final = 0.2
# Time to refute. Ends early once three could not reach it; still a process
# paused for a second is never dead.
SUSPICION_SECONDS: Final = 1.2
CONFIRMED_SECONDS: Final = 0.8
# How long hearing nobody is taken for a fault of one's own.
DEAF_AFTER: Final = 1.0
DEAF_LIMIT: Final = 6.0
PAUSED_AFTER: Final = 1.0
_SUSPECT_PROBERS: Final = 10


class Detector:
    """The state of one instance's membership; see the module."""

    def __init__(
        self, me: PeerSettings, boot: int, now: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        self.identity = Identity(me, boot)
        self.table = Table()
        self.heard_facts: dict[InstanceId, dict[str, bytes]] = {}
        self.joiner = Joiner(self.identity, self.table, rng, now)
        self._prober = Prober(self.identity, self.table, rng)
        self._random = rng
        self._heard_at = now
        self._ticked_at = now
        self._period_at = now
        # Looked for only when something changed: going through all members
        # at each tick would make the cost grow with the fleet.
        self._suspects: list[InstanceId] = []
        self._looked_at = self.table.changes

    def on_tick(self, now: float) -> list[Send]:
        """Do what is due; call about every tenth of a second."""
        if now - self._ticked_at > PAUSED_AFTER:
            self._forgive(now)
        self._ticked_at = now
        if self.identity.superseded:
            return []
        sends, failed = self._prober.check(now)
        for target in failed:
            self._suspect(target, now)
        self._bury_suspects(now)
        if now >= self._period_at:
            self._period_at = now + PERIOD
            sends += self._prober.start(now)
        return sends + self.joiner.on_tick(now)

    def on_message(
        self, address: str, packet: Packet, now: float
    ) -> list[Send]:
        """Take in a datagram and return the answers."""
        if packet.sender == self.identity.me.id or self.identity.superseded:
            return []
        self._heard_at = now
        if packet.act in {Act.PING, Act.ACK}:
            self.heard_facts[packet.sender] = packet.facts
        asked = self._take_header(address, packet, now)
        # What a page tells is known to others; to pass it on as news again
        # would fill the datagrams of everyone for minutes after a start.
        self.take_claims(packet.updates, now, news=packet.act != Act.PAGE)
        return asked + self._answer(address, packet, now)

    def take_claims(
        self, updates: Iterable[Update], now: float, *, news: bool = True
    ) -> None:
        """Take in claims and pass on what is news."""
        for update in updates:
            if update.id == self.identity.me.id:
                self.identity.refute(update)
            elif self._apply(update, now):
                if news:
                    self.identity.gossip.add(update)
                self._hasten(update, now)

    def leave(self, state: MemberState) -> list[Send]:
        """Say that this instance is leaving, or has left, to some at once."""
        self.identity.change(state)
        members = self.table.reachable()
        chosen = self._random.sample(members, min(2 * HELPERS, len(members)))
        told = (self.identity.describe(),)
        return [
            (self.table.address(each), self._write(Act.GOSSIP, told))
            for each in chosen
        ]

    def deaf(self, now: float) -> bool:
        """Return whether nobody at all is heard, so the fault may be here.

        With one other member the two cases can't be told apart, and the
        other is taken for dead.
        """
        if not DEAF_AFTER < now - self._heard_at < DEAF_LIMIT:
            return False
        return len(self.table.reachable()) > 1

    def isolated(self, now: float) -> bool:
        """Return whether others are known of but none has been heard."""
        known = bool(self.table.members)
        return known and now - self._heard_at > DEAF_AFTER

    def _take_header(
        self, address: str, packet: Packet, now: float
    ) -> list[Send]:
        """Take in what a sender says of itself; exchange contacts if new."""
        sends = []
        if packet.unknown:
            mine = (self.identity.describe(),)
            sends.append((address, self._write(Act.GOSSIP, mine)))
        known = self.table.members.get(packet.sender)
        if known is not None and _is_same(known, packet):
            claim = Update(
                packet.sender, packet.state, packet.incarnation, packet.sender
            )
            self.take_claims((claim,), now)
            return sends
        told = () if known is None else (self.table.describe(packet.sender),)
        ask = self._write(Act.GOSSIP, told, unknown=True)
        return [*sends, (address, ask)]

    def _answer(self, address: str, packet: Packet, now: float) -> list[Send]:
        if packet.act == Act.PING:
            told = self.table.tell_accused(packet.sender)
            ack = self._write(Act.ACK, told, sequence=packet.sequence)
            return [(address, ack)]
        if packet.act == Act.ACK:
            return self._prober.accept_ack(packet)
        if packet.act == Act.PING_REQUEST:
            return self._prober.relay(address, packet, now)
        if packet.act == Act.SYNC:
            return [(address, self.joiner.page(packet))]
        if packet.act == Act.PAGE:
            return self.joiner.accept_page(address, packet)
        return []

    def _apply(self, update: Update, now: float) -> bool:
        """Take in a claim about another and log what it changes."""
        before = self.table.members.get(update.id)
        seen = None if before is None else (before.state, before.contact.boot)
        if not self.table.apply(update, now):
            return False
        after = self.table.members[update.id]
        _log_change(update, seen, after)
        return True

    def _suspect(self, target: InstanceId, now: float) -> None:
        member = self.table.find(target)
        if member is None or self.deaf(now):
            return
        claim = Update(
            target,
            MemberState.SUSPECT.value,
            member.incarnation,
            self.identity.me.id,
            member.contact,
        )
        self.take_claims((claim,), now)

    def _hasten(self, update: Update, now: float) -> None:
        """Probe a suspect next: it learns of it and can refute in time."""
        if MemberState(update.state) not in ACCUSED:
            return
        chance = _SUSPECT_PROBERS / max(len(self.table.members), 1)
        if self._random.random() < chance:
            self._prober.hasten(update.id)
            self._period_at = min(self._period_at, now)

    def _bury_suspects(self, now: float) -> None:
        if self._looked_at != self.table.changes:
            self._looked_at = self.table.changes
            self._suspects = self.table.suspects()
            self._forget_facts()
        if not self._suspects or self.deaf(now):
            return
        for instance in self._suspects:
            member = self.table.members[instance]
            limit = (
                CONFIRMED_SECONDS if member.confirmed() else SUSPICION_SECONDS
            )
            if now - member.since >= limit:
                claim = self.table.bury(instance, now)
                self.identity.gossip.add(claim)
                accusers = sorted(member.accusers)
                write(
                    _LOGGER,
                    fleet.MEMBER_DEAD,
                    instance=instance,
                    accusers=accusers,
                )

    def _forget_facts(self) -> None:
        """Drop what dead members said; ids of replaced ones never end."""
        for instance in self.heard_facts.keys() - self.table.members.keys():
            self.heard_facts.pop(instance)
        for instance, member in self.table.members.items():
            if not member.reachable():
                self.heard_facts.pop(instance, None)

    def _forgive(self, now: float) -> None:
        """Start all timers anew after a pause of this process.

        The answers came while it did not run; judged by its old timers,
        every member would be dead at once.
        """
        write(_LOGGER, fleet.PAUSED, seconds=round(now - self._ticked_at, 1))
        self._prober.forget()
        self._heard_at = now
        for member in self.table.members.values():
            if member.state is MemberState.SUSPECT:
                member.since = now

    def _write(
        self,
        act: Act,
        updates: tuple[Update, ...] = (),
        *,
        unknown: bool = False,
        sequence: int = 0,
    ) -> Packet:
        return self.identity.write_packet(
            act,
            len(self.table.members),
            updates,
            unknown=unknown,
            sequence=sequence,
        )


def _is_same(known: Member, packet: Packet) -> bool:
    """Return whether the sender is the process held under its id, and lives.

    A later process under the same id sends its contact first; its number
    alone would be put beside the former process's address.
    """
    return known.reachable() and known.contact.boot == packet.boot


def _log_change(
    update: Update,
    before: tuple[MemberState, int] | None,
    after: Member,
) -> None:
    event = _EVENTS[after.state]
    if after.state is MemberState.DEAD and update.by == update.id:
        event = fleet.MEMBER_LEFT
    if before is not None and before[1] != after.contact.boot:
        event = fleet.MEMBER_RESTARTED
    elif before is not None and before[0] is after.state:
        return
    write(
        _LOGGER,
        event,
        instance=update.id,
        by=update.by,
        incarnation=update.incarnation,
    )


_EVENTS: Final = {
    MemberState.ALIVE: fleet.MEMBER_ALIVE,
    MemberState.LEAVING: fleet.MEMBER_LEAVING,
    MemberState.SUSPECT: fleet.MEMBER_SUSPECT,
    MemberState.DEAD: fleet.MEMBER_DEAD,
}
