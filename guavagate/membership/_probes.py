"""Direct probes of members, and indirect ones if a member doesn't answer."""

import dataclasses
import itertools
import random
from typing import Final

from guavagate.membership._identity import Identity
from guavagate.membership._packet import Packet, PacketType, Update
from guavagate.membership._round_trips import RoundTrips
from guavagate.membership._table import Table
from guavagate.models import InstanceId

Send = tuple[str, Packet]

DIRECT_TIMEOUT_SECONDS: Final = 0.25
INDIRECT_TIMEOUT_SECONDS: Final = 0.35
INDIRECT_PROBERS: Final = 3
_MAX_INDIRECT_PROBES: Final = 256
_NO_TARGET: Final = InstanceId('')


@dataclasses.dataclass(slots=True)
class _Probe:
    """A probe without an answer."""

    target: InstanceId
    sent_at: float
    direct_until: float
    until: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class _IndirectProbe:
    """A probe on behalf of another instance, which requested it."""

    address: str
    sequence: int
    until: float


class Prober:
    """Probes in flight, both own ones and those for other instances."""

    def __init__(
        self, identity: Identity, table: Table, rng: random.Random
    ) -> None:
        self._identity = identity
        self._table = table
        self._random = rng
        self._sequence = itertools.count(1)
        self._probes: dict[int, _Probe] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._round: list[InstanceId] = []
        self.round_trips = RoundTrips()

    def start(self, now: float) -> list[Send]:
        """Probe the next member of the round.

        Rounds are shuffled instead of drawing a member each time, so that no
        member goes unprobed for long.
        """
        while self._round:
            target = self._round.pop()
            if self._table.find(target) is not None:
                return [self._probe(target, now)]
        self._round = self._table.reachable()
        self._random.shuffle(self._round)
        self._table.drop_expired(now)
        self._expire_indirect_probes(now)
        if not self._round:
            return []
        return [self._probe(self._round.pop(), now)]

    def check(self, now: float) -> tuple[list[Send], list[InstanceId]]:
        """Return requests for indirect probes, and the members that failed."""
        sends: list[Send] = []
        failed = []
        for number, probe in list(self._probes.items()):
            if now >= probe.until:
                self._probes.pop(number)
                failed.append(probe.target)
            elif now >= probe.direct_until and not probe.indirect:
                probe.indirect = True
                sends += self._request_indirect_probes(number, probe.target)
        return sends, failed

    def probe_next(self, target: InstanceId) -> None:
        """Probe a member next."""
        self._round.append(target)

    def drop_pending(self) -> None:
        """Drop the probes in flight; a missing answer proves nothing."""
        self._probes.clear()

    def accept_ack(self, packet: Packet, now: float) -> list[Send]:
        """Record an answer; forward it if another instance requested it."""
        probe = self._probes.pop(packet.sequence, None)
        if probe is not None and not probe.indirect:
            self.round_trips.record(probe.target, now - probe.sent_at)
        indirect_probe = self._indirect_probes.pop(packet.sequence, None)
        if indirect_probe is None:
            return []
        answer = self._build_packet(
            PacketType.ACK,
            packet.updates[:INDIRECT_PROBERS],
            target=packet.sender,
            sequence=indirect_probe.sequence,
        )
        return [(indirect_probe.address, answer)]

    def probe_indirectly(
        self, address: str, packet: Packet, now: float
    ) -> list[Send]:
        """Probe a member on behalf of the instance at an address."""
        if len(self._indirect_probes) >= _MAX_INDIRECT_PROBES:
            self._expire_indirect_probes(now)
        if len(self._indirect_probes) >= _MAX_INDIRECT_PROBES:
            return []
        number = next(self._sequence)
        self._indirect_probes[number] = _IndirectProbe(
            address, packet.sequence, now + INDIRECT_TIMEOUT_SECONDS
        )
        claims = self._table.describe_accused(packet.target)
        ping = self._build_packet(PacketType.PING, claims, sequence=number)
        return [(packet.address, ping)]

    def _probe(self, target: InstanceId, now: float) -> Send:
        number = next(self._sequence)
        direct_until = now + DIRECT_TIMEOUT_SECONDS
        self._probes[number] = _Probe(
            target, now, direct_until, direct_until + INDIRECT_TIMEOUT_SECONDS
        )
        claims = self._table.describe_accused(target)
        ping = self._build_packet(PacketType.PING, claims, sequence=number)
        return self._table.address(target), ping

    def _request_indirect_probes(
        self, number: int, target: InstanceId
    ) -> list[Send]:
        member = self._table.find(target)
        if member is None:
            return []
        others = [each for each in self._table.reachable() if each != target]
        request = self._build_packet(
            PacketType.PING_REQUEST,
            target=target,
            sequence=number,
            address=member.contact.peer_address,
        )
        probers = self._random.sample(
            others, min(INDIRECT_PROBERS, len(others))
        )
        return [(self._table.address(each), request) for each in probers]

    def _expire_indirect_probes(self, now: float) -> None:
        self._indirect_probes = {
            number: probe
            for number, probe in self._indirect_probes.items()
            if probe.until > now
        }

    def _build_packet(
        self,
        act: PacketType,
        updates: tuple[Update, ...] = (),
        *,
        target: InstanceId = _NO_TARGET,
        sequence: int = 0,
        address: str = '',
    ) -> Packet:
        return self._identity.build_packet(
            act,
            len(self._table.members),
            updates,
            target=target,
            sequence=sequence,
            address=address,
        )
