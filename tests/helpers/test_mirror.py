"""A copy of the store's objects through outages and dropped history."""

from guavagate.clock import PausedClock
from guavagate.exceptions import StoreUnavailableError
from guavagate.helpers.mirror import Mirror
from guavagate.measure.fakes import MemoryStore, StoreState
from guavagate.models import Revision
from guavagate.ports.store import StoreChange, StoredObject


class _Held:
    """A mirror of `servers`, and what it told."""

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
        """Start and load."""
        self.mirror.start()
        self.clock.advance(0.1)


def test_changes_arrive_as_they_are_made() -> None:
    """One is written, one replaced, one deleted."""
    held = _Held()
    held.state.change('servers/a', b'1')
    held.state.change('servers/b', b'1')
    held.start()
    assert held.known == {'a': b'1', 'b': b'1'}
    held.state.change('servers/a', b'2')
    held.state.change('servers/b', None)
    held.clock.advance(0.1)
    assert held.known == {'a': b'2'}


def test_a_watch_that_was_cut_off_is_not_gone_on_with() -> None:
    """The history is dropped and the watches are cut.

    A store may keep a watch from before the drop waiting without a word, so
    a configuration of meanwhile would be seen only at its end. The list is
    read instead, at once.
    """
    held = _Held()
    asked: list[Revision] = []

    def watch(
        _: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        asked.append(since)
        if len(asked) == 1:
            held.clock.sleep(0.5)
            raise StoreUnavailableError('the watch was cut', 'ask again')
        held.clock.sleep(timeout)
        return [], Revision(0)

    held.store.watch = watch  # type: ignore[method-assign, assignment]
    held.start()
    held.state.change('servers/a', b'1')
    held.clock.advance(1)
    assert held.known == {'a': b'1'}
    assert asked == [0, held.state.revision]


def test_what_lapsed_with_an_outage_is_kept_for_a_while() -> None:
    """Registrations ran out while the store was down; the upstreams live.

    They are back within about two seconds. Taken out at once, all upstreams
    would be gone together.
    """
    held = _Held(expires_in_outage=True)
    held.state.change('servers/a', b'1')
    held.state.change('servers/b', b'1')
    held.start()
    held.state.outage = True
    held.state.changed.set()
    held.state.changed.clear()
    held.clock.advance(1)
    held.state.change('servers/a', None)
    held.state.change('servers/b', None)
    held.state.outage = False
    held.clock.advance(1)
    assert set(held.known) == {'a', 'b'}
    held.state.change('servers/a', b'2')
    held.clock.advance(3)
    assert held.known == {'a': b'2'}


def test_without_an_outage_what_is_gone_is_gone_at_once() -> None:
    """An upstream has left as planned."""
    held = _Held(expires_in_outage=True)
    held.state.change('servers/a', b'1')
    held.start()
    held.clock.advance(3)
    held.state.change('servers/a', None)
    held.clock.advance(0.1)
    assert not held.known


def test_an_object_that_can_not_be_read_stops_nothing() -> None:
    """One registration is broken; the others count."""
    held = _Held()
    held.state.change('servers/a', b'bad')
    held.state.change('servers/b', b'1')
    held.start()
    assert held.known == {'b': b'1'}
