"""A simulated network of detectors with faults in each direction."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from guavagate.membership._detector import Detector
from guavagate.membership._packet import MemberState, Packet
from guavagate.membership._probes import Send
from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings

TICK = 0.1
Delay = Callable[[str, str], float | None]


def make_peer(
    name: str, zone: str = 'ilala-hall', address: str = ''
) -> PeerSettings:
    """Return an instance whose address is its name unless it has another."""
    return PeerSettings(
        id=InstanceId(name),
        availability_zone=ZoneId(zone),
        region=RegionId('dar-coast'),
        peer_address=address or name,
        http_address=name,
    )


class Network:
    """Detectors in virtual time; `delay` may delay or lose datagrams."""

    def __init__(self, names: Iterable[str], seed: int = 1) -> None:
        self.now = 1000.0
        self.random = random.Random(seed)
        self.paused: dict[str, list[tuple[str, Packet]]] = {}
        self.delay: Delay = lambda source, target: 0.001
        self.detectors: dict[str, Detector] = {}
        self.sent = 0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, str, str, Packet | None]] = []
        for name in names:
            self.start(name)

    def start(
        self,
        name: str,
        listed: Iterable[str] = (),
        clock_offset: float = 0,
        instance: str = '',
    ) -> None:
        """Start a process; it replaces a running one of the same name.

        Parameters
        ----------
        clock_offset
            By how many seconds its time of day is ahead.
        instance
            Its id if it is another than its name, which is its address.
        """
        boot = int((self.now + clock_offset) * 1000)
        detector = Detector(
            make_peer(instance or name, address=name),
            boot,
            self.now,
            self.random.getrandbits(32),
        )
        known = [*sorted(self.detectors)[:3], *listed]
        detector.joiner.add_candidates(
            {InstanceId(each): each for each in known}
        )
        is_new = name not in self.detectors
        self.detectors[name] = detector
        if is_new:
            self._push(self.random.random() * TICK, name, '', None)

    def kill(self, name: str) -> None:
        """Crash a process: it announces nothing."""
        self.detectors.pop(name)

    def pause(self, name: str) -> None:
        """Pause a process; its datagrams wait in the socket."""
        self.paused[name] = []

    def resume(self, name: str) -> None:
        """Resume a process; its socket buffered the oldest datagrams."""
        waiting = self.paused.pop(name)[:200]
        self.send(name, self.detectors[name].on_tick(self.now))
        for source, packet in waiting:
            self._receive(source, name, packet)

    def send(self, source: str, sends: list[Send]) -> None:
        """Send datagrams with the delay of their link."""
        for target, packet in sends:
            self.sent += 1
            delay = self.delay(source, target)
            if delay is not None:
                self._push(delay, target, source, packet)

    def run(self, seconds: float, done: Callable[[], bool] = bool) -> float:
        """Advance the time until done; return the seconds that passed."""
        start = self.now
        while self._events and self._events[0][0] <= start + seconds:
            self.now, _, name, source, packet = heapq.heappop(self._events)
            self._step(name, source, packet)
            if done():
                return self.now - start
        self.now = start + seconds
        return seconds

    def usable(self, viewer: str) -> set[str]:
        """Return the members that one instance considers usable."""
        table = self.detectors[viewer].table
        return {
            each for each, member in table.members.items() if member.usable()
        }

    def agree(self) -> bool:
        """Return whether each instance considers exactly the others usable."""
        working = {
            name: str(detector.identity.me.id)
            for name, detector in self.detectors.items()
            if not detector.identity.superseded
        }
        return all(
            self.usable(name) == set(working.values()) - {instance}
            for name, instance in working.items()
            if name not in self.paused
        )

    def state_of(self, viewer: str, name: str) -> MemberState:
        """Return a member's state in one instance's view."""
        table = self.detectors[viewer].table
        return table.members[InstanceId(name)].state

    def _push(
        self, wait: float, name: str, source: str, packet: Packet | None
    ) -> None:
        event = (self.now + wait, next(self._sequence), name, source, packet)
        heapq.heappush(self._events, event)

    def _step(self, name: str, source: str, packet: Packet | None) -> None:
        if packet is None:
            self._push(TICK, name, '', None)
            if name in self.detectors and name not in self.paused:
                sends = self.detectors[name].on_tick(self.now)
                self.send(name, sends)
        elif name in self.paused:
            self.paused[name].append((source, packet))
        elif name in self.detectors:
            self._receive(source, name, packet)

    def _receive(self, source: str, name: str, packet: Packet) -> None:
        sends = self.detectors[name].on_message(source, packet, self.now)
        self.send(name, sends)


def make_network(count: int, seed: int = 1) -> Network:
    """Return a network whose members all know each other."""
    network = Network((f'i{number:03}' for number in range(count)), seed)
    network.run(60, network.agree)
    assert network.agree()
    return network
