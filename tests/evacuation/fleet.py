"""Instances that follow evacuations and registrations through the feed."""

import contextlib
from collections.abc import Sequence

from guavagate.evacuation import Evacuations
from guavagate.exceptions import UpstreamExcludedError
from guavagate.feeds import Feed
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, Revision, UpstreamId, ZoneId
from guavagate.ports.store import StoreChange, StoredObject
from guavagate.routing import UpstreamTable
from tests.feeds.fleet import CountingStore
from tests.routing.test_routes import make_upstream

PREFIX = 'evacuations'
NAMES = 'abcdef'


class _Store(CountingStore):
    """A store of which the calls for one prefix can hang."""

    hanging = ''

    def list_under(
        self, prefix: str, after: str = ''
    ) -> tuple[list[StoredObject], Revision]:
        """List, or hang."""
        self._hang(prefix)
        return super().list_under(prefix, after)

    def watch(
        self, prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        """Watch, or hang."""
        self._hang(prefix)
        return super().watch(prefix, since, timeout)

    def _hang(self, prefix: str) -> None:
        if prefix == self.hanging:
            self.clock.sleep(60)


class Node:
    """One instance: its feed, its upstreams and its evacuations."""

    def __init__(
        self, world: World, name: str, *, first: bool, follows: bool = True
    ) -> None:
        me = InstanceId(name)
        evacuations = (PREFIX,) if follows else ()
        host = world.hosts[me]
        self.store = _Store(host.clock, world.store, name)
        self.upstreams = UpstreamTable(host.clock, ZoneId('a'))
        self.closed: list[str] = []
        self.metrics = Metrics()
        self.returned: list[str] = []
        # What was usable at any change, also between two of them.
        self.history: list[str] = []
        self.upstreams.subscribe_zone_returns(self.returned.append)
        self.upstreams.subscribe(
            lambda: self.history.append(self.list_serving())
        )
        self.evacuations = Evacuations(
            host.clock,
            self.upstreams,
            self.closed.append,
            self.metrics,
            lambda: [ZoneId('a'), ZoneId('b')],
            world.clock.now,
        )
        self.feed = Feed(
            self.store,
            host.clock,
            world.bus(name),
            world.members[me],
            me,
            ('config', 'servers', *evacuations),
            ('servers',),
            later=evacuations,
            urgent=evacuations,
            first_start=first,
            boot_clock=world.clock.now,
        )
        self.feed.register_handlers('config', lambda _: None, None)
        self.feed.register_handlers('servers', self._put, self._remove)
        self.evacuations.follow(self.feed, evacuations)
        self.feed.start()

    def list_serving(self) -> str:
        """Return the names of the upstreams that a request may use."""
        some = make_upstream('a', 'a')
        return ''.join(each.id for each in self.upstreams.serving(some.service))

    def list_sendable(self) -> str:
        """Return the upstreams to which a request would be sent right now."""
        names = ''
        for upstream in self.upstreams.registered():
            with contextlib.suppress(UpstreamExcludedError):
                self.upstreams.check(upstream)
                names += upstream.id
        return names

    def _put(self, stored: StoredObject) -> None:
        name = stored.path.partition('/')[2]
        self.upstreams.put(make_upstream(name, stored.value.decode()))

    def _remove(self, name: str) -> None:
        self.upstreams.remove(UpstreamId(name))


class Fleet:
    """Instances with an upstream in each of the zones a and b."""

    def __init__(self, names: Sequence[str] = NAMES) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.nodes: dict[str, Node] = {}
        for name in names:
            self.world.add(name)
        self.clock.advance(1)
        self.world.store.change('config/main', b'1')
        self.put_upstream('a', 'a')
        self.put_upstream('b', 'b')
        for name in names:
            self.nodes[name] = Node(self.world, name, first=True)
        self.clock.advance(4)

    def put_upstream(self, name: str, zone: str) -> None:
        """Register an upstream."""
        self.world.store.change(f'servers/{name}', zone.encode())

    def evacuate(self, zone: str, content: bytes = b'{}') -> None:
        """Set an evacuation."""
        self.world.store.change(f'{PREFIX}/{zone}', content)

    def end(self, zone: str) -> None:
        """Remove an evacuation."""
        self.world.store.change(f'{PREFIX}/{zone}', None)

    def list_serving(self) -> set[str]:
        """Return what the live instances may use; one string if they agree."""
        return {
            node.list_serving()
            for name, node in self.nodes.items()
            if not self.world.hosts[InstanceId(name)].dead
        }

    def find_relay(self) -> str:
        """Return the instance that relays."""
        return next(
            name
            for name, node in self.nodes.items()
            if node.feed.relaying
            and not self.world.hosts[InstanceId(name)].dead
        )

    def restart(self, name: str, *, follows: bool = True) -> Node:
        """Kill an instance, and start it again under the same id.

        Parameters
        ----------
        follows
            Whether its settings ask for evacuations.
        """
        self.world.hosts[InstanceId(name)].kill()
        self.world.add(name)
        self.nodes[name] = Node(self.world, name, first=False, follows=follows)
        return self.nodes[name]
