"""Prefixes that earlier releases do not follow reach only who follows them."""

import functools

from guavagate.feeds import Feed
from guavagate.feeds._messages import FeedCopy, FeedEntry, ReadFeed
from guavagate.feeds._table import FeedTable
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, Revision
from guavagate.ports.store import StoredObject

_FIRST = ('config',)
_LATER = ('config', 'stops')
_NAMES = 'abcd'
_OLD = 'd'


class _Fleet:
    """Four instances; the last one is of a release that follows less."""

    def __init__(self) -> None:
        self.world = World()
        self.feeds: dict[str, Feed] = {}
        self.objects: dict[str, dict[str, bytes]] = {}
        for name in _NAMES:
            self.world.add(name)
        self.world.clock.advance(1)
        self.world.store.change('config/main', b'1')
        self.world.store.change('stops/x', b'1')
        for name in _NAMES:
            self._start(name)
        self.world.clock.advance(4)

    def _start(self, name: str) -> None:
        objects: dict[str, bytes] = {}
        self.objects[name] = objects
        me = InstanceId(name)
        prefixes = _FIRST if name == _OLD else _LATER
        feed = Feed(
            self.world.store_of(name),
            self.world.hosts[me].clock,
            self.world.bus(name),
            self.world.members[me],
            me,
            prefixes,
            later=prefixes[1:],
            boot_clock=self.world.clock.now,
        )

        def put(stored: StoredObject) -> None:
            objects[stored.path] = stored.value

        def remove(prefix: str, gone: str) -> None:
            objects.pop(f'{prefix}/{gone}', None)

        for prefix in prefixes:
            feed.register_handlers(
                prefix, put, functools.partial(remove, prefix)
            )
        self.feeds[name] = feed
        feed.start()

    def list_values(self, path: str) -> list[bytes | None]:
        """Return what each instance has of an object."""
        return [self.objects[name].get(path) for name in _NAMES]


def test_a_change_under_a_later_prefix_reaches_who_follows_it() -> None:
    """The instance of an earlier release goes on following the relay."""
    fleet = _Fleet()
    assert fleet.list_values('stops/x') == [b'1', b'1', b'1', None]
    fleet.world.store.change('stops/x', b'2')
    fleet.world.clock.advance(1)
    fleet.world.store.change('config/main', b'2')
    fleet.world.clock.advance(1)
    assert fleet.list_values('stops/x') == [b'2', b'2', b'2', None]
    assert set(fleet.list_values('config/main')) == {b'2'}


def test_a_removal_under_a_later_prefix_reaches_who_follows_it() -> None:
    """An operator lets a stopped request run again."""
    fleet = _Fleet()
    fleet.world.store.change('stops/x', None)
    fleet.world.clock.advance(2)
    assert set(fleet.list_values('stops/x')) == {None}


def test_a_request_of_an_earlier_release_gets_no_later_prefix() -> None:
    """It could not read them, and would drop the objects after them."""
    fleet = _Fleet()
    relay = next(
        name for name in _NAMES if fleet.feeds[name].relaying and name != _OLD
    )
    copies: list[FeedCopy] = []
    bus = fleet.world.bus(_OLD)
    fleet.world.clock.spawn(
        lambda: copies.append(
            bus.request(
                InstanceId(relay), ReadFeed(packed=True), FeedCopy, timeout=1
            )
        )
    )
    fleet.world.clock.advance(1)
    assert [each.path for each in copies[0].entries] == ['config/main']
    assert not copies[0].packed


def test_a_snapshot_of_an_earlier_release_removes_no_later_object() -> None:
    """It covers fewer prefixes than are followed here."""
    table = FeedTable()
    objects: dict[str, bytes] = {}
    table.register_handlers(
        'stops',
        lambda stored: objects.update({stored.path: stored.value}),
        lambda name: objects.clear(),
    )
    table.apply(FeedEntry(path='stops/x', version=Revision(3), value=b'1'))
    table.apply_snapshot([], Revision(9), _FIRST)
    assert objects
    table.apply_snapshot([], Revision(9), _LATER)
    assert not objects


def test_a_prefix_that_is_confirmed_seldom_makes_no_data_seem_old() -> None:
    """Its watch waits longer, and nobody watches because of that."""
    fleet = _Fleet()
    fleet.world.store.calls.clear()
    fleet.world.clock.advance(9)
    relaying = [name for name in _NAMES if fleet.feeds[name].relaying]
    assert len(relaying) == 1
    # Ten watches of the configuration and three of the other prefix.
    assert fleet.world.store.calls.total() <= 16


def test_a_missed_removal_is_seen_whenever_a_later_prefix_was_confirmed() -> (
    None
):
    """A follower is cut off while an object of a first prefix is removed.

    The other prefix is complete only up to a revision before that.
    """
    fleet = _Fleet()
    fleet.world.store.change('config/x', b'1')
    fleet.world.clock.advance(1)
    relay = next(name for name in 'abc' if fleet.feeds[name].relaying)
    follower = next(name for name in 'abc' if name != relay)
    way = (InstanceId(relay), InstanceId(follower))
    fleet.world.network.blocked.add(way)
    fleet.world.store.change('config/x', None)
    fleet.world.clock.advance(0.05)
    fleet.world.network.blocked.clear()
    fleet.world.clock.advance(0.5)
    assert 'config/x' not in fleet.objects[follower]
