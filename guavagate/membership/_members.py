"""Membership over UDP: runs the failure detector on a socket and a clock."""

import logging
import secrets
import statistics
from collections.abc import Callable, Iterable
from typing import Final

import gevent
from gevent import socket

from guavagate.clock import Clock, Task
from guavagate.events import fleet, write
from guavagate.exceptions import SettingsError
from guavagate.helpers.addresses import split_address
from guavagate.membership._detector import Detector
from guavagate.membership._packet import (
    MemberState,
    decode_packet,
    encode_packet,
    restore_peer,
)
from guavagate.membership._probes import Send
from guavagate.membership._static import make_peer_settings
from guavagate.models import InstanceId, ZoneId
from guavagate.settings import InstanceSettings, PeerSettings
from guavagate.util.traffic import Traffic

_LOGGER: Final = logging.getLogger(__name__)

TICK_SECONDS: Final = 0.1
MAX_FACTS_BYTES: Final = 512
_DATAGRAM_BYTES: Final = 65_536
_LEAVE_REPEATS: Final = 3


class Membership:
    """Tracks which instances are alive; implements `runtime.Members`.

    It uses UDP on the port number of `peer_address`. Probing random members
    over the bus would open a connection, with its handshake, to every
    instance of the fleet.

    Parameters
    ----------
    credential
        The cluster credential; authenticates each datagram.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        credential: bytes = b'',
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._credential = credential
        boot = int(clock.wall() * 1000)
        self._detector = Detector(
            make_peer_settings(settings),
            boot,
            clock.now(),
            secrets.randbits(64),
        )
        self._peers = {peer.id: peer.peer_address for peer in settings.peers}
        self._detector.joiner.add_candidates(self._peers)
        self._subscribers: list[Callable[[], None]] = []
        self._fact_subscribers: list[Callable[[InstanceId], None]] = []
        self._usable: list[PeerSettings] = []
        self._fingerprint: tuple = ()
        self._isolated = False
        self._socket: socket.socket | None = None
        self.traffic = Traffic()
        self._tasks: list[Task] = []
        self._refresh()

    def start(self) -> None:
        """Bind the socket and start to probe and join."""
        host, port = self._settings.peer_address.rsplit(':', 1)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._tasks = [
            self._clock.spawn(self._receive),
            self._clock.spawn(self._tick),
        ]

    def stop(self) -> None:
        """Announce that this instance has left, and close the socket."""
        if self._socket is None:
            return
        gevent.killall(self._tasks)
        for _ in range(_LEAVE_REPEATS):  # Datagrams may be lost.
            self._send(self._detector.leave(MemberState.DEAD))
        self._socket.close()
        self._socket = None

    def start_leaving(self) -> None:
        """Take this instance out of every `alive()`; it stays reachable."""
        self._send(self._detector.leave(MemberState.LEAVING))
        self._refresh()

    def alive(self) -> list[PeerSettings]:
        """Return all instances that may get work, ordered by id.

        Includes this instance and suspected instances, but no leaving ones. A
        superseded process leaves itself out: it has no duty and owns nothing.
        """
        return list(self._usable)

    def others(self) -> list[InstanceId]:
        """Return the ids of all other usable instances."""
        me = self._settings.id
        return [each.id for each in self._usable if each.id != me]

    def get(self, instance: InstanceId) -> PeerSettings | None:
        """Return an instance unless it is dead; it may be leaving."""
        if instance == self._settings.id:
            return self._detector.identity.me
        member = self._detector.table.find(instance)
        return (
            None if member is None else restore_peer(instance, member.contact)
        )

    def address(self, instance: InstanceId) -> str | None:
        """Return the address at which an instance listens for the bus."""
        member = self._detector.table.find(instance)
        if member is not None:
            return member.contact.peer_address
        if instance == self._settings.id:
            return self._settings.peer_address
        return None

    def state(self, instance: InstanceId) -> MemberState | None:
        """Return an instance's state, or None if it is unknown."""
        if instance == self._settings.id:
            return self._detector.identity.state
        member = self._detector.table.members.get(instance)
        return None if member is None else member.state

    def states(self) -> dict[InstanceId, MemberState]:
        """Return the state of every instance by id, including dead ones."""
        members = self._detector.table.members
        states = {each: member.state for each, member in members.items()}
        states[self._settings.id] = self._detector.identity.state
        return dict(sorted(states.items()))

    def boot(self, instance: InstanceId) -> int | None:
        """Return a number that differs after each restart of an instance."""
        if instance == self._settings.id:
            return self._detector.identity.boot
        member = self._detector.table.members.get(instance)
        return None if member is None else member.contact.boot

    def measure_zones(self) -> dict[ZoneId, float]:
        """Return the middle round trip to the members of each zone, in s."""
        by_zone: dict[ZoneId, list[float]] = {}
        for peer, seconds in self._detector.measure_round_trips().items():
            contact = self._detector.table.members[peer].contact
            by_zone.setdefault(contact.availability_zone, []).append(seconds)
        return {
            zone: statistics.median(times) for zone, times in by_zone.items()
        }

    def isolated(self) -> bool:
        """Return whether members are known but none sends anything.

        This is no reason to refuse callers: the last instance that is left
        receives nothing either.
        """
        return self._detector.isolated(self._clock.now())

    def superseded(self) -> bool:
        """Return whether a later process has taken over this instance's id."""
        return self._detector.identity.superseded

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a non-blocking callback for changes and restarts."""
        self._subscribers.append(changed)

    def set_fact(self, name: str, value: bytes) -> None:
        """Publish a small value in this instance's probes and acks.

        Raises
        ------
        SettingsError
            All facts together are larger than `MAX_FACTS_BYTES`.
        """
        facts = {**self._detector.identity.facts, name: value}
        size = sum(len(each) + len(facts[each]) for each in facts)
        if size > MAX_FACTS_BYTES:
            raise SettingsError(
                f'facts of {size} bytes do not fit into a probe',
                f'keep all facts under {MAX_FACTS_BYTES} bytes; send a digest',
            )
        self._detector.identity.facts = facts

    def facts(self, instance: InstanceId) -> dict[str, bytes]:
        """Return the facts last received from an instance."""
        if instance == self._settings.id:
            return dict(self._detector.identity.facts)
        return dict(self._detector.peer_facts.get(instance, {}))

    def subscribe_facts(self, changed: Callable[[InstanceId], None]) -> None:
        """Register a non-blocking callback for changes of facts."""
        self._fact_subscribers.append(changed)

    def update_candidates(self, listed: Iterable[PeerSettings]) -> None:
        """Update the candidates to probe from the platform's list.

        The list lags, so it never adds or removes members by itself.
        """
        addresses = {peer.id: peer.peer_address for peer in listed}
        self._detector.joiner.retain_candidates({*addresses, *self._peers})
        self._detector.joiner.add_candidates({**self._peers, **addresses})

    def _receive(self) -> None:
        assert self._socket is not None
        while True:
            datagram, (host, port) = self._socket.recvfrom(_DATAGRAM_BYTES)
            self.traffic.record_received(len(datagram))
            packet = decode_packet(datagram, self._credential)
            if packet is None:
                continue
            before = self._detector.peer_facts.get(packet.sender)
            self._send(
                self._detector.on_message(
                    f'{host}:{port}', packet, self._clock.now()
                )
            )
            self._refresh()
            after = self._detector.peer_facts.get(packet.sender)
            if after != before:
                for changed in self._fact_subscribers:
                    changed(packet.sender)

    def _tick(self) -> None:
        while True:
            self._send(self._detector.on_tick(self._clock.now()))
            self._refresh()
            self._log_isolation()
            self._clock.sleep(TICK_SECONDS)

    def _send(self, sends: list[Send]) -> None:
        for address, packet in sends:
            datagram = encode_packet(packet, self._credential)
            self.traffic.record_sent(len(datagram))
            # A failure is like a datagram lost on the network. An address may
            # come from another program's entry in the list of instances.
            try:
                self._socket and self._socket.sendto(
                    datagram, split_address(address)
                )
            except (OSError, ValueError) as error:
                _LOGGER.debug('Sending to %r failed: %s', address, error)

    def _refresh(self) -> None:
        """Rebuild the list of usable instances if anything changed."""
        table = self._detector.table
        identity = self._detector.identity
        fingerprint = (table.changes, identity.state, identity.superseded)
        if fingerprint == self._fingerprint:
            return
        self._fingerprint = fingerprint
        usable = {
            each: restore_peer(each, member.contact)
            for each, member in table.members.items()
            if member.usable()
        }
        if identity.state is MemberState.ALIVE and not identity.superseded:
            usable[identity.me.id] = identity.me
        self._usable = [usable[each] for each in sorted(usable)]
        for changed in self._subscribers:
            changed()

    def _log_isolation(self) -> None:
        isolated = self.isolated()
        if isolated != self._isolated:
            event = fleet.ISOLATED if isolated else fleet.ISOLATION_ENDED
            write(_LOGGER, event, instance=self._settings.id)
        self._isolated = isolated
