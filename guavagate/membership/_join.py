"""Member discovery: joins, syncs tables and ends network partitions."""

import random
from typing import Final

from guavagate.membership._identity import Identity
from guavagate.membership._packet import Packet, PacketType
from guavagate.membership._probes import INDIRECT_PROBERS, Send
from guavagate.membership._table import Table
from guavagate.models import InstanceId

CANDIDATE_INTERVAL_SECONDS: Final = 2.0
JOIN_INTERVAL_SECONDS: Final = 0.5
SYNC_INTERVAL_SECONDS: Final = 5.0
PAGE_SIZE: Final = 6
# Instances that a new process announces itself to at each tick: until then they
# assume that its predecessor still does its work. Announcing to eighty takes
# 0.3 s, with 100 bytes each, once per process.
ANNOUNCE_BATCH: Final = 32
# Only instances that become known this soon get the announcement: the
# predecessor need not have worked with later ones.
ANNOUNCE_SECONDS: Final = 3.0
_FIRST_PAGE: Final = InstanceId('')


class Joiner:
    """Probes seeds, listed instances and dead members.

    The platform's list only adds candidates: a listed instance becomes a
    member by answering, and a member that the list omits stays a member.
    """

    def __init__(
        self,
        identity: Identity,
        table: Table,
        rng: random.Random,
        now: float,
    ) -> None:
        self._identity = identity
        self._table = table
        self._random = rng
        self._addresses: dict[InstanceId, str] = {}
        self._candidates: list[InstanceId] = []
        self._candidate_at = now
        self._sync_at = now + SYNC_INTERVAL_SECONDS
        self._cursor = _FIRST_PAGE
        self._has_full_table = False
        self._unannounced: list[InstanceId] = []
        self._announce_until = now + ANNOUNCE_SECONDS

    def add_candidates(self, addresses: dict[InstanceId, str]) -> None:
        """Add candidates and replace the addresses of known ones."""
        self._unannounced += [
            each for each in addresses if each not in self._addresses
        ]
        self._addresses.update(addresses)
        self._addresses.pop(self._identity.me.id, None)

    def retain_candidates(self, retained: set[InstanceId]) -> None:
        """Drop all candidates but the given ones."""
        for instance in self._addresses.keys() - retained:
            self._addresses.pop(instance)

    def on_tick(self, now: float) -> list[Send]:
        """Probe candidates and sync tables when due."""
        sends = self._announce(now)
        if now >= self._candidate_at:
            sends += self._probe_candidates(now)
        if now >= self._sync_at:
            self._sync_at = now + SYNC_INTERVAL_SECONDS
            sends += self._start_sync()
        return sends

    def build_page(self, packet: Packet) -> Packet:
        """Return the page of members that follow the requested id."""
        ids = sorted(
            each for each in self._table.members if each > packet.target
        )
        updates = tuple(self._table.describe(each) for each in ids[:PAGE_SIZE])
        # The packet's target names the page's last member: the datagram's last
        # update may be gossip that is not part of the page.
        cursor = updates[-1].id if updates else _FIRST_PAGE
        return self._build_packet(PacketType.PAGE, updates, cursor)

    def accept_page(self, address: str, packet: Packet) -> list[Send]:
        """Request the next page while joining.

        Afterwards one page per sync is enough to repair what gossip missed,
        and its cost does not depend on the size of the fleet.
        """
        self._cursor = packet.target
        if self._cursor == _FIRST_PAGE:
            self._has_full_table = True
        if self._has_full_table:
            return []
        return [
            (address, self._build_packet(PacketType.SYNC, (), self._cursor))
        ]

    def _announce(self, now: float) -> list[Send]:
        """Ping instances that don't know yet that this process started."""
        if now >= self._announce_until:
            self._unannounced = []
        chosen = self._unannounced[:ANNOUNCE_BATCH]
        self._unannounced = self._unannounced[ANNOUNCE_BATCH:]
        ping = self._identity.build_packet(
            PacketType.PING,
            len(self._table.members),
            (self._identity.describe(),),
        )
        return [
            (self._addresses[each], ping)
            for each in chosen
            if each in self._addresses
        ]

    def _probe_candidates(self, now: float) -> list[Send]:
        """Ping some known instances that are not members or are dead.

        After a network partition each side considers the other side dead;
        without these pings neither would contact the other again.
        """
        members = self._table.reachable()
        joined = bool(members)
        wait = (
            CANDIDATE_INTERVAL_SECONDS
            if joined and self._has_full_table
            else JOIN_INTERVAL_SECONDS
        )
        self._candidate_at = now + wait
        if not self._candidates:
            self._candidates = self._list_candidates()
        sends: list[Send] = []
        if joined and not self._has_full_table:
            # Others may have contacted this process before it could request a
            # page, or a page was lost: continue from the last cursor.
            chosen = self._random.choice(members)
            packet = self._build_packet(PacketType.SYNC, (), self._cursor)
            sends.append((self._table.address(chosen), packet))
        for _ in range(
            min(1 if joined else INDIRECT_PROBERS, len(self._candidates))
        ):
            sends.extend(self._probe_candidate(self._candidates.pop(), joined))
        return sends

    def _probe_candidate(
        self, candidate: InstanceId, joined: bool
    ) -> list[Send]:
        if self._table.find(candidate) is not None:
            return []
        address = self._addresses.get(candidate)
        if address is None:
            address = self._table.address(candidate)
        claims = self._table.describe_accused(candidate)
        ping = self._identity.build_packet(
            PacketType.PING,
            len(self._table.members),
            (self._identity.describe(), *claims),
        )
        sends = [(address, ping)]
        if not joined:
            sends.append(
                (address, self._build_packet(PacketType.SYNC, (), _FIRST_PAGE))
            )
        return sends

    def _list_candidates(self) -> list[InstanceId]:
        dead = {
            each
            for each, member in self._table.members.items()
            if not member.reachable()
        }
        chosen = sorted(
            each
            for each in dead | self._addresses.keys()
            if self._table.find(each) is None
        )
        self._random.shuffle(chosen)
        return chosen

    def _start_sync(self) -> list[Send]:
        members = self._table.reachable()
        if not members:
            return []
        chosen = self._random.choice(members)
        packet = self._build_packet(PacketType.SYNC, (), self._cursor)
        return [(self._table.address(chosen), packet)]

    def _build_packet(
        self, act: PacketType, updates: tuple, target: InstanceId
    ) -> Packet:
        return self._identity.build_packet(
            act, len(self._table.members), updates, target=target
        )
