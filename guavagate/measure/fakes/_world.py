"""Fake instances that share a paused clock, a network and a store."""

import random
from collections.abc import Callable

import msgspec

from guavagate.clock import PausedClock
from guavagate.measure.fakes._bus import FakeBus, Network
from guavagate.measure.fakes._host import Host
from guavagate.measure.fakes._store import MemoryStore, StoreState
from guavagate.models import InstanceId, RegionId, TeamId, ZoneId
from guavagate.settings import (
    InstanceSettings,
    PeerSettings,
    PlatformSettings,
    TeamSettings,
)


class FakeMembers:
    """Fake of `Members` that learns of changes after a detection delay."""

    def __init__(self, peers: dict[InstanceId, PeerSettings]) -> None:
        self.peers = dict(peers)
        self._subscribers: list[Callable[[], None]] = []

    def alive(self) -> list[PeerSettings]:
        """Return all live instances, including this one, ordered by id."""
        return [self.peers[name] for name in sorted(self.peers)]

    def get(self, instance: InstanceId) -> PeerSettings | None:
        """Return a live instance, or `None`."""
        return self.peers.get(instance)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(changed)

    def update(self, peer: PeerSettings, *, alive: bool) -> None:
        """Apply one change of an instance's liveness."""
        if alive == (peer.id in self.peers):
            return
        if alive:
            self.peers[peer.id] = peer
        else:
            self.peers.pop(peer.id)
        for changed in self._subscribers:
            changed()


class FakeTeams:
    """Fake of `Teams` whose settings a test puts in force."""

    def __init__(self, teams: list[TeamSettings] | None = None) -> None:
        self.teams = {one.team: one for one in teams or []}
        self._subscribers: list[Callable[[TeamId], None]] = []

    def get(self, team: TeamId) -> TeamSettings | None:
        """Return the settings in force for a team."""
        return self.teams.get(team)

    def all(self) -> list[TeamSettings]:
        """Return every team's settings in force."""
        return list(self.teams.values())

    def subscribe(self, changed: Callable[[TeamId], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(changed)

    def put(self, settings: TeamSettings) -> None:
        """Put settings in force."""
        self.teams[settings.team] = settings
        for changed in self._subscribers:
            changed(settings.team)


class FakeDecisionLog:
    """Fake of `DecisionLog` that stores decisions in a list."""

    def __init__(self) -> None:
        self.entries: list[tuple[str, str, str, str]] = []

    def record(
        self,
        subject: str,
        kind: str,
        choice: str,
        reason: str,
        turned_down: dict[str, str] | None = None,
    ) -> None:
        """Store a decision."""
        self.entries.append((subject, kind, choice, reason))


class World:
    """Simulated cluster: instances, their network and their store.

    Parameters
    ----------
    detection_delay
        Seconds after which the other instances notice that an instance was
        killed or paused; they notice a resume after half of that.
    """

    def __init__(self, seed: int = 0, detection_delay: float = 2.0) -> None:
        self.clock = PausedClock()
        self.random = random.Random(seed)
        self.network = Network(self.clock, self.random)
        self.store = StoreState(rng=self.random, sleep=self.clock.sleep)
        self.detection_delay = detection_delay
        self.hosts: dict[InstanceId, Host] = {}
        self.members: dict[InstanceId, FakeMembers] = {}
        self.peers: dict[InstanceId, PeerSettings] = {}
        self._changes: dict[InstanceId, int] = {}

    def add(self, name: str, zone: str = '') -> Host:
        """Start an instance, or restart one under the same id."""
        instance = InstanceId(name)
        host = Host(instance, self.clock)
        self.hosts[instance] = host
        self.peers[instance] = PeerSettings(
            id=instance,
            availability_zone=ZoneId(zone or f'zone-{len(self.peers) % 3}'),
            region=RegionId('region-a'),
            peer_address='127.0.0.1:1',
            http_address='127.0.0.1:2',
        )
        self.network.add_bus(host)
        up = {
            peer: self.peers[peer]
            for peer, other in self.hosts.items()
            if not other.dead
        }
        self.members[instance] = FakeMembers(up)
        self.announce(instance, alive=True, after=0.1)
        return host

    def relocate(self, name: str, region: RegionId) -> None:
        """Set an instance's region, before others learn of it."""
        instance = InstanceId(name)
        peer = msgspec.structs.replace(self.peers[instance], region=region)
        self.peers[instance] = peer
        self.members[instance].peers[instance] = peer

    def bus(self, name: str) -> FakeBus:
        """Return an instance's bus."""
        return self.network.buses[InstanceId(name)]

    def store_of(self, name: str) -> MemoryStore:
        """Return the store client of an instance."""
        clock = self.hosts[InstanceId(name)].clock
        return MemoryStore(clock, self.store, name)

    def settings_of(self, name: str) -> InstanceSettings:
        """Return an instance's own settings."""
        peer = self.peers[InstanceId(name)]
        return InstanceSettings(
            id=peer.id,
            availability_zone=peer.availability_zone,
            region=peer.region,
            http_address=peer.http_address,
            peer_address=peer.peer_address,
            platform=PlatformSettings(object_api='127.0.0.1:3'),
        )

    def kill(self, name: str) -> None:
        """Kill an instance; the others notice later."""
        self.hosts[InstanceId(name)].kill()
        self.announce(InstanceId(name), alive=False, after=self.detection_delay)

    def pause(self, name: str) -> None:
        """Pause an instance; the others consider it dead later."""
        self.hosts[InstanceId(name)].pause()
        self.announce(InstanceId(name), alive=False, after=self.detection_delay)

    def resume(self, name: str) -> None:
        """Resume an instance; the others consider it alive later."""
        self.hosts[InstanceId(name)].resume()
        self.announce(
            InstanceId(name), alive=True, after=self.detection_delay / 2
        )

    def announce(
        self, instance: InstanceId, *, alive: bool, after: float
    ) -> None:
        """Report a change to all other instances unless a newer one follows."""
        number = self._changes.get(instance, 0) + 1
        self._changes[instance] = number
        for other in list(self.hosts):
            if other != instance:
                self._announce_to(other, instance, number, alive, after)

    def _announce_to(
        self,
        other: InstanceId,
        instance: InstanceId,
        number: int,
        alive: bool,
        after: float,
    ) -> None:
        """Report a change to one instance."""
        wait = after + self.random.uniform(0, 0.2)

        def learn() -> None:
            if self._changes[instance] == number:
                members, peer = self.members[other], self.peers[instance]
                members.update(peer, alive=alive)

        self.clock.call_at(
            self.clock.now() + wait,
            lambda: self.hosts[other].deliver(learn),
        )
