"""In-memory object API with the faults of the platform's."""

import contextlib
import dataclasses
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from guavagate.clock import Clock
from guavagate.exceptions import (
    StoreConflictError,
    StoreUnavailableError,
)
from guavagate.models import Revision
from guavagate.ports.store import (
    StoreChange,
    StoredObject,
    WatchCompactedError,
)

_CALL_SECONDS: Final = 0.003
_OUTAGE_SECONDS: Final = 0.2
_LATE_WRITE_SECONDS: Final = (0.5, 4.0)


@dataclasses.dataclass
class StoreState:
    """Objects and active faults that all instances share.

    Attributes
    ----------
    outage
        Every call fails, after `_OUTAGE_SECONDS` seconds.
    added_delay
        Seconds added to each call.
    lose_answers
        Share of writes that take effect though their answer is lost.
    lose_next
        Number of next writes whose answer is lost.
    late_write_share
        Share of writes that get no answer and are applied up to a few seconds
        later, if their condition holds then.
    on_write
        Called before and after each put, with the instance, the call's name,
        its path and whether it has taken effect.
    sleep
        Waits at the store, independent of the calling instance.
    calls
        Number of calls by name; a long-poll watch counts once.
    stale_objects
        Snapshot that reads are served from instead of `objects`.
    """

    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0)
    )
    outage: bool = False
    added_delay: float = 0
    lose_answers: float = 0
    lose_next: int = 0
    late_write_share: float = 0
    on_write: Callable[[str, str, str, bool], None] | None = None
    revision: int = 0
    compacted: int = 0
    calls: 'Counter[str]' = dataclasses.field(default_factory=Counter)
    writes: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    objects: dict[str, StoredObject] = dataclasses.field(default_factory=dict)
    changes: list[StoreChange] = dataclasses.field(default_factory=list)
    stale_objects: dict[str, StoredObject] | None = None
    changed: Event = dataclasses.field(default_factory=Event)
    sleep: Callable[[float], None] | None = None

    def serve_stale(self, on: bool) -> None:
        """Serve reads from a snapshot taken now, or stop doing so."""
        self.stale_objects = dict(self.objects) if on else None

    def get_readable(self) -> dict[str, StoredObject]:
        """Return the objects that reads see."""
        return (
            self.objects if self.stale_objects is None else self.stale_objects
        )

    def check_version(self, path: str, expected: Revision | None) -> None:
        """Reject a write that expects another version."""
        current = self.objects.get(path)
        version = current.version if current else 0
        if expected is not None and version != expected:
            raise StoreConflictError(
                f'{path} is at version {version}, not {expected}',
                'read the object again before writing',
            )

    def change(self, path: str, value: bytes | None) -> Revision:
        """Write or delete an object and wake the watches."""
        self.revision += 1
        version = Revision(self.revision)
        if value is None:
            self.objects.pop(path, None)
        else:
            self.objects[path] = StoredObject(path, value, version)
        self.changes.append(StoreChange(path, value, version))
        self.changed.set()
        self.changed.clear()
        return version

    def maybe_lose_answer(self) -> None:
        """Raise if the answer to a write that took effect is lost."""
        lost = self.rng.random() < self.lose_answers
        if self.lose_next:
            self.lose_next -= 1
            lost = True
        if lost:
            raise _make_unavailable_error()


class MemoryStore:
    """Store client of one instance; implements `ObjectStore`."""

    def __init__(
        self, clock: Clock, state: StoreState | None = None, caller: str = ''
    ) -> None:
        self.clock = clock
        self.state = state or StoreState()
        self._caller = caller

    def get(self, path: str) -> StoredObject | None:
        """Return the object, or `None`."""
        self._call('get')
        return self.state.get_readable().get(path)

    def list_under(
        self, prefix: str, after: str = ''
    ) -> tuple[list[StoredObject], Revision]:
        """Return all objects under a prefix and the revision of the list."""
        self._call('list')
        found = sorted(self.state.get_readable().items())
        first = f'{prefix}/{after}' if after else ''
        return (
            [
                one
                for path, one in found
                if path.startswith(prefix) and path > first
            ],
            Revision(self.state.revision),
        )

    def put(
        self,
        path: str,
        value: bytes,
        expected: Revision | None,
    ) -> Revision:
        """Write if the object has the expected version."""
        self._call('put', path)
        self._call_write_hook('put', path, applied=False)
        if self.state.rng.random() < self.state.late_write_share:
            self._put_later(path, value, expected)
            raise _make_unavailable_error()
        self.state.check_version(path, expected)
        version = self.state.change(path, value)
        self.state.maybe_lose_answer()
        self._call_write_hook('put', path, applied=True)
        return version

    def delete(self, path: str, expected: Revision | None) -> None:
        """Delete if the object has the expected version."""
        self._call('delete', path)
        self.state.check_version(path, expected)
        if path in self.state.objects:
            self.state.change(path, None)
        self.state.maybe_lose_answer()

    def watch(
        self,
        prefix: str,
        since: Revision,
        timeout: float,
    ) -> tuple[list[StoreChange], Revision]:
        """Wait for changes after a revision."""
        self._call('watch')
        if since < self.state.compacted:
            raise WatchCompactedError
        end = self.clock.now() + timeout
        while self.clock.now() < end and not self.state.outage:
            changes = [
                change
                for change in self.state.changes
                if change.version > since and change.path.startswith(prefix)
            ]
            if changes:
                return changes, Revision(self.state.revision)
            self._wait(end)
        if self.state.outage:
            raise _make_unavailable_error()
        return [], Revision(self.state.revision)

    def _put_later(
        self, path: str, value: bytes, expected: Revision | None
    ) -> None:
        """Apply a write later, although its caller got no answer.

        The store applies it, so it takes effect even if the caller has been
        paused or killed.
        """
        wait = self.state.rng.uniform(*_LATE_WRITE_SECONDS)

        def put() -> None:
            sleep(wait)
            with contextlib.suppress(StoreConflictError):
                self.state.check_version(path, expected)
                self.state.change(path, value)

        sleep = self.state.sleep or self.clock.sleep
        gevent.spawn(put)

    def _call_write_hook(self, name: str, path: str, *, applied: bool) -> None:
        """Call the hook that injects a fault at a write."""
        if self.state.on_write is not None:
            self.state.on_write(self._caller, name, path, applied)
            # Stops here if the hook killed or paused the caller.
            self.clock.sleep(0)

    def _wait(self, end: float) -> None:
        """Wait for any change until a point in time."""
        try:
            with self.clock.timeout(end - self.clock.now(), TimeoutError):
                self.state.changed.wait()
        except TimeoutError:
            return

    def _call(self, name: str, path: str = '') -> None:
        """Count a call, wait for its duration and fail during an outage."""
        state = self.state
        state.calls[name] += 1
        if path:
            state.writes.append((self.clock.now(), path))
        self.clock.sleep(
            _OUTAGE_SECONDS
            if state.outage
            else _CALL_SECONDS + state.added_delay
        )
        if state.outage:
            raise _make_unavailable_error()


def _make_unavailable_error() -> StoreUnavailableError:
    """Return the error of an outage or a lost answer."""
    return StoreUnavailableError(
        'the object API did not answer', 'read back before writing again'
    )
