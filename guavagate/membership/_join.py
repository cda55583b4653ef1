"""Finding members: joining, comparing tables, healing after a partition."""

import random
from typing import Final

from guavagate.membership._identity import Identity
from guavagate.membership._packet import Act, Packet
from guavagate.membership._probes import HELPERS, Send
from guavagate.membership._table import Table
from guavagate.models import InstanceId

CANDIDATE_SECONDS: Final = 2.0
JOIN_SECONDS: Final = 0.5
SYNC_SECONDS: Final = 5.0
PAGE_SIZE: Final = 6
# A process that has started tells all that it knows of, so many at each tick:
# others hold that it still does what it did before. Eighty are told in 0.3 s,
# with 100 bytes each; it is done once.
ANNOUNCED_AT_ONCE: Final = 32
# What it hears of later is no list of those that it was with before.
ANNOUNCE_SECONDS: Final = 3.0
_START: Final = InstanceId('')


class Joiner:
    """Asks seeds, listed instances and dead members whether they live.

    The platform's list only ever adds candidates here: what it names becomes
    a member by answering, and what it omits stays one.
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
        self._known: dict[InstanceId, str] = {}
        self._queue: list[InstanceId] = []
        self._candidate_at = now
        self._sync_at = now + SYNC_SECONDS
        self._cursor = _START
        self._whole = False
        self._unannounced: list[InstanceId] = []
        self._announce_until = now + ANNOUNCE_SECONDS

    def learn(self, addresses: dict[InstanceId, str]) -> None:
        """Take candidates, replacing the addresses of known ones."""
        self._unannounced += [
            each for each in addresses if each not in self._known
        ]
        self._known.update(addresses)
        self._known.pop(self._identity.me.id, None)

    def retain(self, wanted: set[InstanceId]) -> None:
        """Forget candidates that are no longer named anywhere."""
        for instance in self._known.keys() - wanted:
            self._known.pop(instance)

    def on_tick(self, now: float) -> list[Send]:
        """Try candidates and compare tables when it is time."""
        sends = self._announce(now)
        if now >= self._candidate_at:
            sends += self._try_candidates(now)
        if now >= self._sync_at:
            self._sync_at = now + SYNC_SECONDS
            sends += self._compare()
        return sends

    def page(self, packet: Packet) -> Packet:
        """Return the members that follow an id, a few at a time."""
        ids = sorted(
            each for each in self._table.members if each > packet.target
        )
        updates = tuple(self._table.describe(each) for each in ids[:PAGE_SIZE])
        # What follows an id is named by it: gossip in the same datagram
        # must not be taken for the page's end.
        cursor = updates[-1].id if updates else _START
        return self._write(Act.PAGE, updates, cursor)

    def accept_page(self, address: str, packet: Packet) -> list[Send]:
        """Ask for the next page while joining.

        Afterwards one page each time is enough to repair what gossip
        missed, and costs the same at any size of the fleet.
        """
        self._cursor = packet.target
        if self._cursor == _START:
            self._whole = True
        if self._whole:
            return []
        return [(address, self._write(Act.SYNC, (), self._cursor))]

    def _announce(self, now: float) -> list[Send]:
        """Ping those that were not told yet that this process has started."""
        if now >= self._announce_until:
            self._unannounced = []
        chosen = self._unannounced[:ANNOUNCED_AT_ONCE]
        self._unannounced = self._unannounced[ANNOUNCED_AT_ONCE:]
        ping = self._identity.write_packet(
            Act.PING, len(self._table.members), (self._identity.describe(),)
        )
        return [
            (self._known[each], ping) for each in chosen if each in self._known
        ]

    def _try_candidates(self, now: float) -> list[Send]:
        """Ping some that are known of but not members, or are dead.

        Both sides of a healed partition hold the other side dead; without
        this neither would ever speak to the other again.
        """
        members = self._table.reachable()
        joined = bool(members)
        wait = CANDIDATE_SECONDS if joined and self._whole else JOIN_SECONDS
        self._candidate_at = now + wait
        if not self._queue:
            self._queue = self._list_candidates()
        sends: list[Send] = []
        if joined and not self._whole:
            # Others may have found it before it had anyone to ask, and a page
            # may have been lost: it goes on where it is.
            chosen = self._random.choice(members)
            packet = self._write(Act.SYNC, (), self._cursor)
            sends.append((self._table.address(chosen), packet))
        for _ in range(min(1 if joined else HELPERS, len(self._queue))):
            sends.extend(self._try(self._queue.pop(), joined))
        return sends

    def _try(self, candidate: InstanceId, joined: bool) -> list[Send]:
        if self._table.find(candidate) is not None:
            return []
        address = self._known.get(candidate)
        if address is None:
            address = self._table.address(candidate)
        told = self._table.tell_accused(candidate)
        ping = self._identity.write_packet(
            Act.PING,
            len(self._table.members),
            (self._identity.describe(), *told),
        )
        sends = [(address, ping)]
        if not joined:
            sends.append((address, self._write(Act.SYNC, (), _START)))
        return sends

    def _list_candidates(self) -> list[InstanceId]:
        dead = {
            each
            for each, member in self._table.members.items()
            if not member.reachable()
        }
        chosen = sorted(
            each
            for each in dead | self._known.keys()
            if self._table.find(each) is None
        )
        self._random.shuffle(chosen)
        return chosen

    def _compare(self) -> list[Send]:
        members = self._table.reachable()
        if not members:
            return []
        chosen = self._random.choice(members)
        packet = self._write(Act.SYNC, (), self._cursor)
        return [(self._table.address(chosen), packet)]

    def _write(self, act: Act, updates: tuple, target: InstanceId) -> Packet:
        return self._identity.write_packet(
            act, len(self._table.members), updates, target=target
        )
