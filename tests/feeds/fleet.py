"""A fleet whose store calls are counted and can be cut off."""

from collections.abc import Sequence

from guavagate.feeds import Feed, rank_relays
from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, Revision
from guavagate.ports.store import StoreChange, StoredObject

NAMES = 'abcdef'


class CountingStore(MemoryStore):
    """Counts one instance's calls; no call returns while it is cut off."""

    calls_made = 0
    cut_off = False
    # Delay of reads of single objects, in seconds.
    read_delay = float(0)

    def get(self, path: str) -> StoredObject | None:
        """Count a read."""
        self._count_call()
        self.clock.sleep(self.read_delay)
        return super().get(path)

    def list_under(
        self, prefix: str, after: str = ''
    ) -> tuple[list[StoredObject], Revision]:
        """Count a list."""
        self._count_call()
        return super().list_under(prefix, after)

    def watch(
        self, prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        """Count a watch."""
        self._count_call()
        return super().watch(prefix, since, timeout)

    def _count_call(self) -> None:
        self.calls_made += 1
        if self.cut_off:
            self.clock.sleep(60)


class Fleet:
    """Instances in three zones that follow two prefixes."""

    def __init__(
        self, names: Sequence[str] = NAMES, *, proving: bool = False
    ) -> None:
        self.names = names
        self.proof_path = 'config/main' if proving else ''
        self.world = World()
        self.clock = self.world.clock
        self.objects: dict[str, dict[str, bytes]] = {}
        self.received: dict[str, list[bytes]] = {}
        self.stores: dict[str, CountingStore] = {}
        self.feeds: dict[str, Feed] = {}
        # The instances that work on jobs.
        self.working: set[str] = set()
        for name in names:
            self.world.add(name)
        self.clock.advance(1)
        self.world.store.change('config/main', b'1')
        for name in names:
            self._start(name)
        self.clock.advance(4)

    def _start(self, name: str, *, first: bool = True) -> None:
        objects: dict[str, bytes] = {}
        received: list[bytes] = []
        self.objects[name] = objects
        self.received[name] = received

        def put(stored: StoredObject) -> None:
            objects[stored.path] = stored.value
            received.append(stored.value)

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
        feed.register_handlers('config', put, None)

        def remove(gone: str) -> None:
            objects.pop(f'servers/{gone}')

        feed.register_handlers('servers', put, remove)
        self.feeds[name] = feed
        feed.start()

    def order_relays(self) -> list[str]:
        """Return the instances in the order in which they relay."""
        first = InstanceId(self.names[0])
        alive = self.world.members[first].alive()
        return [str(each) for each in rank_relays(alive)]

    def list_relays(self) -> list[str]:
        """Return the instance that relays while there is no fault."""
        return self.order_relays()[:1]

    def list_followers(self) -> list[str]:
        """Return all instances but the relay."""
        return self.order_relays()[1:]

    def list_store_callers(self) -> set[str]:
        """Return the instances that have called the store."""
        return {name for name in self.names if self.stores[name].calls_made}

    def clear_calls(self) -> None:
        """Reset the counts of store calls."""
        self.world.store.calls.clear()
        for store in self.stores.values():
            store.calls_made = 0

    def list_ages(self, names: Sequence[str]) -> list[float]:
        """Return the proven age of these instances' configurations."""
        return [self.feeds[name].proof.age() for name in names]

    def list_values(self, names: list[str]) -> set[bytes]:
        """Return the configurations of these instances."""
        return {self.objects[name]['config/main'] for name in names}
