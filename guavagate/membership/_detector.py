"""A SWIM-style failure detector without I/O.

The caller passes in datagrams and the time; the detector returns datagrams to
send. In each interval it probes one member, in shuffled rounds. A member that
does not answer is probed through others before it is suspected, and a
suspected member has time to refute before it is declared dead. The cost per
instance therefore does not grow with the fleet.

Differences from the published protocol, each of which handles a failure:

- A claim that a member is dead counts as a suspicion until three instances
  could not reach the member. An instance that receives nothing therefore can't
  take healthy instances out of use by its claims.
- Some of the instances that learn of a suspicion probe the suspect at once (in
  a large fleet ten on average). The probe carries the suspicion, so the suspect
  can refute it.
- A detector that receives nothing at all accuses no member for a while.
- A detector whose own process was paused restarts all its timers.
"""

import logging
import random
from collections.abc import Iterable
from typing import Final

from guavagate.events import fleet, write
from guavagate.membership._identity import Identity
from guavagate.membership._join import Joiner
from guavagate.membership._packet import MemberState, Packet, PacketType, Update
from guavagate.membership._probes import INDIRECT_PROBERS, Prober, Send
from guavagate.membership._table import ACCUSED, Member, Table
from guavagate.models import InstanceId
from guavagate.settings import PeerSettings

_LOGGER: Final = logging.getLogger(__name__)

# Of nine instances, a dead one is out of use at all others after 1.9 s (p50) or
# 2.9 s (worst of 80 seeds). An interval of 0.25 s raises the worst to 3.2 s.
PROBE_INTERVAL_SECONDS: Final = 0.2
# Time to refute. The shorter limit applies once three instances could not reach
# the suspect. A process that is paused for a second survives either limit,
# because the unanswered probes before a suspicion take another 0.6 s.
SUSPICION_SECONDS: Final = 1.2
CONFIRMED_SUSPICION_SECONDS: Final = 0.8
# An instance that receives nothing for a time between these two limits assumes
# that the fault is its own.
ISOLATED_AFTER_SECONDS: Final = 1.0
LOCAL_FAULT_LIMIT_SECONDS: Final = 6.0
PAUSED_AFTER_SECONDS: Final = 1.0
# For this long after its start a process takes over its id from another one of
# which it learns. Joining a fleet takes up to three seconds.
NEW_PROCESS_SECONDS: Final = 5.0
# Average number of instances that probe a new suspect at once.
_SUSPECT_PROBERS: Final = 10


class Detector:
    """The membership protocol's state in one instance."""

    def __init__(
        self, me: PeerSettings, boot: int, now: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        self.identity = Identity(me, boot)
        self.table = Table()
        self.peer_facts: dict[InstanceId, dict[str, bytes]] = {}
        self.joiner = Joiner(self.identity, self.table, rng, now)
        self._prober = Prober(self.identity, self.table, rng)
        self._random = rng
        self._started_at = now
        self._last_message_at = now
        self._last_tick_at = now
        self._next_probe_at = now
        # Rebuilt only when the table changed: scanning all members at each
        # tick would make the cost grow with the fleet.
        self._suspects: list[InstanceId] = []
        self._seen_changes = self.table.changes

    def measure_round_trips(self) -> dict[InstanceId, float]:
        """Return the round trip to each member that has answered a probe."""
        round_trips = self._prober.round_trips
        round_trips.retain(self.table.members)
        return dict(round_trips)

    def on_tick(self, now: float) -> list[Send]:
        """Run what is due; the caller ticks about every 0.1 seconds."""
        if now - self._last_tick_at > PAUSED_AFTER_SECONDS:
            self._restart_timers(now)
        self._last_tick_at = now
        if self.identity.superseded:
            return []
        sends, failed = self._prober.check(now)
        for target in failed:
            self._suspect(target, now)
        self._expire_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS
            sends += self._prober.start(now)
        return sends + self.joiner.on_tick(now)

    def on_message(
        self, address: str, packet: Packet, now: float
    ) -> list[Send]:
        """Process a datagram and return the datagrams to send in response."""
        if packet.sender == self.identity.me.id:
            return []
        if self.identity.superseded and not self._resume(packet, now):
            return []
        self._last_message_at = now
        if packet.act in {PacketType.PING, PacketType.ACK}:
            self.peer_facts[packet.sender] = packet.facts
        queries = self._process_header(address, packet, now)
        # Other members already know a page's claims. Gossiping them again
        # would fill every member's datagrams for minutes after a start.
        self.apply_claims(
            packet.updates, now, gossip=packet.act != PacketType.PAGE
        )
        return queries + self._respond(address, packet, now)

    def apply_claims(
        self, updates: Iterable[Update], now: float, *, gossip: bool = True
    ) -> None:
        """Apply claims; with `gossip`, gossip those that changed anything."""
        for update in updates:
            if update.id == self.identity.me.id:
                is_new = now - self._started_at < NEW_PROCESS_SECONDS
                self.identity.refute(update, is_new=is_new)
            elif self._apply(update, now):
                if gossip:
                    self.identity.gossip.add(update)
                self._probe_early(update, now)

    def leave(self, state: MemberState) -> list[Send]:
        """Return datagrams that announce a leaving state to some members."""
        self.identity.change_state(state)
        members = self.table.reachable()
        chosen = self._random.sample(
            members, min(2 * INDIRECT_PROBERS, len(members))
        )
        claims = (self.identity.describe(),)
        return [
            (
                self.table.address(each),
                self._build_packet(PacketType.GOSSIP, claims),
            )
            for each in chosen
        ]

    def may_have_local_fault(self, now: float) -> bool:
        """Return whether this instance has lately received nothing at all.

        The fault is then probably its own, and it accuses no member until
        `LOCAL_FAULT_LIMIT_SECONDS` have passed. With only one other member the
        two cases can't be distinguished, and the other counts as failed.
        """
        if (
            not ISOLATED_AFTER_SECONDS
            < now - self._last_message_at
            < LOCAL_FAULT_LIMIT_SECONDS
        ):
            return False
        return len(self.table.reachable()) > 1

    def isolated(self, now: float) -> bool:
        """Return whether members are known but none sent anything lately."""
        known = bool(self.table.members)
        return known and now - self._last_message_at > ISOLATED_AFTER_SECONDS

    def _resume(self, packet: Packet, now: float) -> bool:
        """Return whether a superseded process works again.

        It does once others report that the process in its place is dead. They
        send this to its address if the platform's list or the settings have it.
        """
        me = self.identity.me.id
        own = [each for each in packet.updates if each.id == me]
        self.apply_claims(own, now)
        if self.identity.superseded:
            return False
        self._restart_timers(now)
        return True

    def _process_header(
        self, address: str, packet: Packet, now: float
    ) -> list[Send]:
        """Apply the sender's own state; exchange contacts if it is unknown."""
        sends = []
        if packet.unknown:
            own_claim = (self.identity.describe(),)
            sends.append(
                (address, self._build_packet(PacketType.GOSSIP, own_claim))
            )
        known = self.table.members.get(packet.sender)
        if known is not None and _is_known_process(known, packet):
            claim = Update(
                packet.sender, packet.state, packet.incarnation, packet.sender
            )
            self.apply_claims((claim,), now)
            return sends
        claims = () if known is None else (self.table.describe(packet.sender),)
        query = self._build_packet(PacketType.GOSSIP, claims, unknown=True)
        return [*sends, (address, query)]

    def _respond(self, address: str, packet: Packet, now: float) -> list[Send]:
        if packet.act == PacketType.PING:
            claims = self.table.describe_accused(packet.sender)
            ack = self._build_packet(
                PacketType.ACK, claims, sequence=packet.sequence
            )
            return [(address, ack)]
        if packet.act == PacketType.ACK:
            return self._prober.accept_ack(packet, now)
        if packet.act == PacketType.PING_REQUEST:
            return self._prober.probe_indirectly(address, packet, now)
        if packet.act == PacketType.SYNC:
            return [(address, self.joiner.build_page(packet))]
        if packet.act == PacketType.PAGE:
            return self.joiner.accept_page(address, packet)
        return []

    def _apply(self, update: Update, now: float) -> bool:
        """Apply a claim about another member and log what it changes."""
        before = self.table.members.get(update.id)
        seen = None if before is None else (before.state, before.contact.boot)
        if not self.table.apply(update, now):
            return False
        after = self.table.members[update.id]
        _log_change(update, seen, after)
        return True

    def _suspect(self, target: InstanceId, now: float) -> None:
        member = self.table.find(target)
        if member is None or self.may_have_local_fault(now):
            return
        claim = Update(
            target,
            MemberState.SUSPECT.value,
            member.incarnation,
            self.identity.me.id,
            member.contact,
        )
        self.apply_claims((claim,), now)

    def _probe_early(self, update: Update, now: float) -> None:
        """Probe a suspect next, by chance, so that it can refute in time."""
        if MemberState(update.state) not in ACCUSED:
            return
        chance = _SUSPECT_PROBERS / max(len(self.table.members), 1)
        if self._random.random() < chance:
            self._prober.probe_next(update.id)
            self._next_probe_at = min(self._next_probe_at, now)

    def _expire_suspects(self, now: float) -> None:
        if self._seen_changes != self.table.changes:
            self._seen_changes = self.table.changes
            self._suspects = self.table.suspects()
            self._drop_stale_facts()
        if not self._suspects or self.may_have_local_fault(now):
            return
        for instance in self._suspects:
            member = self.table.members[instance]
            limit = (
                CONFIRMED_SUSPICION_SECONDS
                if member.confirmed()
                else SUSPICION_SECONDS
            )
            if now - member.since >= limit:
                claim = self.table.mark_dead(instance, now)
                self.identity.gossip.add(claim)
                accusers = sorted(member.accusers)
                write(
                    _LOGGER,
                    fleet.MEMBER_DEAD,
                    instance=instance,
                    accusers=accusers,
                )

    def _drop_stale_facts(self) -> None:
        """Drop the facts of dead members.

        Replaced instances get new ids, so the facts would grow without limit.
        """
        for instance in self.peer_facts.keys() - self.table.members.keys():
            self.peer_facts.pop(instance)
        for instance, member in self.table.members.items():
            if not member.reachable():
                self.peer_facts.pop(instance, None)

    def _restart_timers(self, now: float) -> None:
        """Restart all timers after this process was paused.

        Answers arrived while it did not run. By the old timers it would
        declare every member dead at once.
        """
        write(
            _LOGGER,
            fleet.PROCESS_PAUSED,
            seconds=round(now - self._last_tick_at, 1),
        )
        self._prober.drop_pending()
        self._last_message_at = now
        for member in self.table.members.values():
            if member.state is MemberState.SUSPECT:
                member.since = now

    def _build_packet(
        self,
        act: PacketType,
        updates: tuple[Update, ...] = (),
        *,
        unknown: bool = False,
        sequence: int = 0,
    ) -> Packet:
        return self.identity.build_packet(
            act,
            len(self.table.members),
            updates,
            unknown=unknown,
            sequence=sequence,
        )


def _is_known_process(known: Member, packet: Packet) -> bool:
    """Return whether the sender is the known process of its id, and alive.

    A later process under the same id must send its contact first. Otherwise
    its incarnation would be combined with the former process's address.
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
