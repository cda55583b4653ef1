"""Probing: one member a period, through others when it does not answer."""

import dataclasses
import itertools
import random
from typing import Final

from guavagate.membership._identity import Identity
from guavagate.membership._packet import Act, Packet, Update
from guavagate.membership._table import Table
from guavagate.models import InstanceId

Send = tuple[str, Packet]

DIRECT_SECONDS: Final = 0.25
INDIRECT_SECONDS: Final = 0.35
HELPERS: Final = 3
_RELAY_LIMIT: Final = 256
_NOBODY: Final = InstanceId('')


@dataclasses.dataclass(slots=True)
class _Probe:
    """One probe that has not been answered."""

    target: InstanceId
    direct_until: float
    until: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class _Relay:
    """A probe made for another instance."""

    address: str
    sequence: int
    until: float


class Prober:
    """Probes in flight, and those made for others."""

    def __init__(
        self, identity: Identity, table: Table, rng: random.Random
    ) -> None:
        self._identity = identity
        self._table = table
        self._random = rng
        self._sequence = itertools.count(1)
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._round: list[InstanceId] = []

    def start(self, now: float) -> list[Send]:
        """Probe the next member of the round.

        A shuffled round, not a draw each time, so that no member goes
        unprobed for long.
        """
        while self._round:
            target = self._round.pop()
            if self._table.find(target) is not None:
                return [self._probe(target, now)]
        self._round = self._table.reachable()
        self._random.shuffle(self._round)
        self._table.forget(now)
        self._expire_relays(now)
        if not self._round:
            return []
        return [self._probe(self._round.pop(), now)]

    def check(self, now: float) -> tuple[list[Send], list[InstanceId]]:
        """Return requests to helpers, and the members that failed."""
        sends: list[Send] = []
        failed = []
        for number, probe in list(self._probes.items()):
            if now >= probe.until:
                self._probes.pop(number)
                failed.append(probe.target)
            elif now >= probe.direct_until and not probe.indirect:
                probe.indirect = True
                sends += self._ask_helpers(number, probe.target)
        return sends, failed

    def hasten(self, target: InstanceId) -> None:
        """Probe a member next."""
        self._round.append(target)

    def forget(self) -> None:
        """Drop the probes in flight; their answers prove nothing."""
        self._probes.clear()

    def accept_ack(self, packet: Packet) -> list[Send]:
        """Note an answer; pass it on if the probe was made for another."""
        self._probes.pop(packet.sequence, None)
        relay = self._relays.pop(packet.sequence, None)
        if relay is None:
            return []
        answer = self._write(
            Act.ACK,
            packet.updates[:HELPERS],
            target=packet.sender,
            sequence=relay.sequence,
        )
        return [(relay.address, answer)]

    def relay(self, address: str, packet: Packet, now: float) -> list[Send]:
        """Probe a member for another instance."""
        if len(self._relays) >= _RELAY_LIMIT:
            self._expire_relays(now)
        if len(self._relays) >= _RELAY_LIMIT:
            return []
        number = next(self._sequence)
        self._relays[number] = _Relay(
            address, packet.sequence, now + INDIRECT_SECONDS
        )
        told = self._table.tell_accused(packet.target)
        ping = self._write(Act.PING, told, sequence=number)
        return [(packet.address, ping)]

    def _probe(self, target: InstanceId, now: float) -> Send:
        number = next(self._sequence)
        direct = now + DIRECT_SECONDS
        self._probes[number] = _Probe(target, direct, direct + INDIRECT_SECONDS)
        told = self._table.tell_accused(target)
        ping = self._write(Act.PING, told, sequence=number)
        return self._table.address(target), ping

    def _ask_helpers(self, number: int, target: InstanceId) -> list[Send]:
        member = self._table.find(target)
        if member is None:
            return []
        others = [each for each in self._table.reachable() if each != target]
        request = self._write(
            Act.PING_REQUEST,
            target=target,
            sequence=number,
            address=member.contact.peer_address,
        )
        helpers = self._random.sample(others, min(HELPERS, len(others)))
        return [(self._table.address(each), request) for each in helpers]

    def _expire_relays(self, now: float) -> None:
        self._relays = {
            number: relay
            for number, relay in self._relays.items()
            if relay.until > now
        }

    def _write(
        self,
        act: Act,
        updates: tuple[Update, ...] = (),
        *,
        target: InstanceId = _NOBODY,
        sequence: int = 0,
        address: str = '',
    ) -> Packet:
        return self._identity.write_packet(
            act,
            len(self._table.members),
            updates,
            target=target,
            sequence=sequence,
            address=address,
        )
