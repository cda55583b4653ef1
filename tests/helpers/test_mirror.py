"""Tests of the mirror during outages and after a dropped watch history."""

from guavagate.clock import PausedClock
from guavagate.exceptions import StoreUnavailableError
from guavagate.helpers.mirror import Mirror
from guavagate.measure.fakes import MemoryStore, StoreState
from guavagate.models import Revision
from guavagate.ports.store import StoreChange, StoredObject


class _MirrorSetup:
    """A mirror of `servers` and the objects that it reported."""

    def __init__(self, *, expires_in_outage: bool = False) -> None:
        self.clock = PausedClock()
        self.state = StoreState()
        self.known: dict[str, bytes] = {}
        self.store = MemoryStore(self.clock, self.state)
        self.mirror = Mirror(
            self.store,
            self.clock,
            'servers',
            self._put,
            self._remove,
            expires_in_outage=expires_in_outage,
        )

    def _put(self, name: str, stored: StoredObject) -> None:
        if stored.value == b'bad':
            raise ValueError('unreadable')
        self.known[name] = stored.value

    def _remove(self, name: str) -> None:
        self.known.pop(name)

    def start(self) -> None:
        """Start the mirror and load the list."""
        self.mirror.start()
        self.clock.advance(0.1)


def test_changes_are_reported() -> None:
    """Objects are created, replaced and deleted."""
    setup = _MirrorSetup()
    setup.state.change('servers/a', b'1')
    setup.state.change('servers/b', b'1')
    setup.start()
    assert setup.known == {'a': b'1', 'b': b'1'}
    setup.state.change('servers/a', b'2')
    setup.state.change('servers/b', None)
    setup.clock.advance(0.1)
    assert setup.known == {'a': b'2'}


def test_an_interrupted_watch_is_not_resumed() -> None:
    """A watch from before a dropped history hides changes until it ends.

    The store drops its history and cuts the watches. It may let a resumed
    watch wait without reporting the loss, so the mirror reads the list again.
    """
    setup = _MirrorSetup()
    revisions: list[Revision] = []

    def watch(
        _: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        revisions.append(since)
        if len(revisions) == 1:
            setup.clock.sleep(0.5)
            raise StoreUnavailableError('the watch was cut', 'watch again')
        setup.clock.sleep(timeout)
        return [], Revision(0)

    setup.store.watch = watch  # type: ignore[method-assign, assignment]
    setup.start()
    setup.state.change('servers/a', b'1')
    setup.clock.advance(1)
    assert setup.known == {'a': b'1'}
    assert revisions == [0, setup.state.revision]


def test_objects_that_expired_in_an_outage_are_retained_for_a_while() -> None:
    """An outage must not remove all upstreams together.

    Registrations expire while the store is down, although the upstreams run.
    The upstreams register again within about two seconds.
    """
    setup = _MirrorSetup(expires_in_outage=True)
    setup.state.change('servers/a', b'1')
    setup.state.change('servers/b', b'1')
    setup.start()
    setup.state.outage = True
    setup.state.changed.set()
    setup.state.changed.clear()
    setup.clock.advance(1)
    setup.state.change('servers/a', None)
    setup.state.change('servers/b', None)
    setup.state.outage = False
    setup.clock.advance(1)
    assert set(setup.known) == {'a', 'b'}
    setup.state.change('servers/a', b'2')
    setup.clock.advance(3)
    assert setup.known == {'a': b'2'}


def test_without_an_outage_a_deletion_is_reported_at_once() -> None:
    """An upstream leaves as planned."""
    setup = _MirrorSetup(expires_in_outage=True)
    setup.state.change('servers/a', b'1')
    setup.start()
    setup.clock.advance(3)
    setup.state.change('servers/a', None)
    setup.clock.advance(0.1)
    assert not setup.known


def test_an_unreadable_object_hides_no_other_object() -> None:
    """One registration is invalid; the other is still reported."""
    setup = _MirrorSetup()
    setup.state.change('servers/a', b'bad')
    setup.state.change('servers/b', b'1')
    setup.start()
    assert setup.known == {'b': b'1'}
