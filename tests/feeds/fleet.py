"""Instances that follow a store, with calls counted and cut."""

from collections.abc import Sequence

from guavagate.feeds import Feed, rank_relays
from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, Revision
from guavagate.ports.store import StoreChange, StoredObject

NAMES = 'abcdef'


class CountingStore(MemoryStore):
    """Counts one instance's calls; no call comes back while it is cut off."""

    asked = 0
    cut = False
    # Seconds by which reads of single objects are late.
    late = float(0)

    def get(self, path: str) -> StoredObject | None:
        """Count a read."""
        self._note()
        self.clock.sleep(self.late)
        return super().get(path)

    def list_under(self, prefix: str) -> tuple[list[StoredObject], Revision]:
        """Count a list."""
        self._note()
        return super().list_under(prefix)

    def watch(
        self, prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        """Count a watch."""
        self._note()
        return super().watch(prefix, since, timeout)

    def _note(self) -> None:
        self.asked += 1
        if self.cut:
            self.clock.sleep(60)


class Fleet:
    """Instances in three zones that follow two prefixes."""

    def __init__(
        self, names: Sequence[str] = NAMES, *, strict: bool = False
    ) -> None:
        self.names = names
        self.proof_path = 'config/main' if strict else ''
        self.world = World()
        self.clock = self.world.clock
        self.known: dict[str, dict[str, bytes]] = {}
        self.told: dict[str, list[bytes]] = {}
        self.stores: dict[str, CountingStore] = {}
        self.feeds: dict[str, Feed] = {}
        # Those that work on jobs.
        self.working: set[str] = set()
        for name in names:
            self.world.add(name)
        self.clock.advance(1)
        self.world.store.change('config/main', b'1')
        for name in names:
            self._start(name)
        self.clock.advance(4)

    def _start(self, name: str, *, first: bool = True) -> None:
        held: dict[str, bytes] = {}
        told: list[bytes] = []
        self.known[name] = held
        self.told[name] = told

        def put(stored: StoredObject) -> None:
            held[stored.path] = stored.value
            told.append(stored.value)

        host = self.world.hosts[InstanceId(name)]
        self.stores[name] = CountingStore(host.clock, self.world.store, name)
        feed = Feed(
            self.stores[name],
            self.world.hosts[InstanceId(name)].clock,
            self.world.bus(name),
            self.world.members[InstanceId(name)],
            InstanceId(name),
            ('config', 'servers'),
            ('servers',),
            first_start=first,
            proof_prefix='config',
            proof_path=self.proof_path,
            may_be_standby=lambda: name not in self.working,
            boot_clock=self.clock.now,
        )
        feed.set_handlers('config', put, None)

        def remove(gone: str) -> None:
            held.pop(f'servers/{gone}')

        feed.set_handlers('servers', put, remove)
        self.feeds[name] = feed
        feed.start()

    def rank(self) -> list[str]:
        """Return the instances in the order in which they relay."""
        first = InstanceId(self.names[0])
        alive = self.world.members[first].alive()
        return [str(each) for each in rank_relays(alive)]

    def relays(self) -> list[str]:
        """Return who relays as long as nothing is wrong."""
        return self.rank()[:1]

    def others(self) -> list[str]:
        """Return all but the relay."""
        return self.rank()[1:]

    def direct(self) -> set[str]:
        """Return who calls the store."""
        return {name for name in self.names if self.stores[name].asked}

    def clear(self) -> None:
        """Forget who has called the store."""
        self.world.store.calls.clear()
        for store in self.stores.values():
            store.asked = 0

    def ages(self, names: Sequence[str]) -> list[float]:
        """Return how old these hold their configuration to be at most."""
        return [self.feeds[name].proof.age() for name in names]

    def values(self, names: list[str]) -> set[bytes]:
        """Return what these hold of the configuration."""
        return {self.known[name]['config/main'] for name in names}
