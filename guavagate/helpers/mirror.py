"""A copy of all objects under a prefix of the store, kept by one watch."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock, Task
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import StoreUnavailableError
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.models import Revision
from guavagate.ports.store import ObjectStore, StoredObject, WatchCompactedError
from guavagate.util.boot_clock import read_boot_clock

_LOGGER: Final = logging.getLogger(__name__)

# A waiting watch counts as a call, so a longer wait is cheaper; a dead
# connection is noticed by TCP's own probes and not by this time.
WATCH_SECONDS: Final = 15.0
# After a failure; an outage's end is then noticed well within the second or
# two in which a configuration must be in force.
RETRY_SECONDS: Final = 0.25
# The first time it is likely that another way is known by now.
FIRST_RETRY_SECONDS: Final = 0.05
# What is missing from a list soon after an outage may have lapsed with it and
# registers itself again within about two seconds.
LAPSE_SECONDS: Final = 2.2

Put = Callable[[str, StoredObject], None]
Remove = Callable[[str], None]


class Mirror:
    """Lists once, then watches; tells each change.

    Parameters
    ----------
    put
        Called, without blocking, with an object's name and the object.
    remove
        Called, without blocking, with the name of an object that is gone;
        without it, such an object is forgotten silently.
    wait, pause
        Seconds that a watch may wait, and that are let pass after a change
        so that the next ones come together.
    settles
        Whether the first watch, too, waits for the pause.
    held
        Versions known from elsewhere, by path; what a list lacks of them is
        told as gone.
    lapses
        Whether objects may lapse while the store is away and come back by
        themselves; then one that is missing is kept for a while.
    loaded
        Called, without blocking, each time that all was listed.
    proved
        Called, without blocking, each time that all is held that the store
        had at some moment, with that moment by the boot clock: when the call
        was sent, as its answer may have been on its way for as long as the
        call took.
    watch_proves
        Whether a watch that ends tells this too. It may hear nothing of a
        change while the store drops its history; a list never does.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        prefix: str,
        put: Put,
        remove: Remove | None = None,
        *,
        lapses: bool = False,
        wait: float | None = None,
        pause: float = 0,
        settles: bool = False,
        held: dict[str, Revision] | None = None,
        loaded: Callable[[], None] | None = None,
        proved: Callable[[float], None] | None = None,
        watch_proves: bool = True,
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._on_proved = proved
        self._watch_proves = watch_proves
        self._boot_clock = boot_clock
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._put = put
        self._remove = remove
        self._on_loaded = loaded
        self._lapses = lapses
        self._wait = WATCH_SECONDS if wait is None else wait
        self._pause = pause
        self._settles = settles
        self.confirmed_at = float(0)
        self.revision = Revision(0)
        self._held: dict[str, Revision] = dict(held or {})
        self._since: Revision | None = None
        self._lost_at: float | None = None
        self._back_at = -LAPSE_SECONDS
        self._missing: dict[str, float] = {}
        self._unreadable = UnreadableObjects()
        self._task: Task | None = None
        self.loaded = False
        # Whether what is told just now has happened just now: a list tells of
        # what may be as old as the watch before it.
        self.is_news = False

    def start(self) -> None:
        """Begin to follow the store."""
        if self._task is None:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop following and forget what is held."""
        if self._task is not None:
            self._task.kill(block=False)
            self._task = None
        self._held.clear()
        self._missing.clear()
        self._since = None
        self.loaded = False

    def _run(self) -> None:
        while True:
            try:
                self._follow()
            except WatchCompactedError:
                _LOGGER.debug('the history of %s is gone', self._prefix)
            except StoreUnavailableError as error:
                again = self._lost_at is not None
                self._note_lost(error)
                self._clock.sleep(
                    RETRY_SECONDS if again else FIRST_RETRY_SECONDS
                )

    def _follow(self) -> None:
        since = self._since
        asked_at = self._boot_clock()
        if since is None:
            objects, listed_at = self._store.list_under(self._prefix)
            self._note_back()
            self._take_list(objects)
            self._note_seen(listed_at)
            self.loaded = True
            self._note_proved(asked_at)
            if self._on_loaded is not None:
                self._on_loaded()
            if self._settles:
                self._clock.sleep(self._pause)
            return
        wait = LAPSE_SECONDS if self._missing else self._wait
        # A watch that is asked again from before a dropped history may be
        # kept waiting, and tell of the loss only when it ends: changes made
        # meanwhile would stay unseen. So a watch that was cut off is never
        # gone on with; the list says what is there now.
        self._since = None
        changes, seen = self._store.watch(self._prefix, since, wait)
        self._note_back()
        self._note_seen(seen)
        self.is_news = True
        for change in changes:
            if change.value is None:
                self._take_missing(change.path)
            else:
                self._take(
                    StoredObject(change.path, change.value, change.version)
                )
        self._drop_missing()
        if self._watch_proves:
            self._note_proved(asked_at)
        if changes and self._pause:
            self._clock.sleep(self._pause)

    def _note_seen(self, revision: Revision) -> None:
        self._since = revision
        self.revision = revision
        self.confirmed_at = self._clock.now()

    def _note_proved(self, asked_at: float) -> None:
        if self._on_proved is not None:
            self._on_proved(asked_at)

    def _take_list(self, objects: list[StoredObject]) -> None:
        self.is_news = False
        present = {each.path for each in objects}
        for path in [each for each in self._held if each not in present]:
            self._take_missing(path)
        for each in objects:
            self._take(each)
        self._drop_missing()

    def _take(self, stored: StoredObject) -> None:
        self._missing.pop(stored.path, None)
        if self._held.get(stored.path, -1) >= stored.version:
            return
        self._held[stored.path] = stored.version
        name = stored.path.partition('/')[2]
        try:
            self._put(name, stored)
        except ValueError as error:
            self._unreadable.note(stored.path, str(error))
        else:
            self._unreadable.note_read(stored.path)

    def _take_missing(self, path: str) -> None:
        if path not in self._held:
            return
        now = self._clock.now()
        since_back = now - self._back_at
        if self._lapses and since_back < LAPSE_SECONDS:
            self._missing.setdefault(path, self._back_at + LAPSE_SECONDS)
            self._clock.spawn(self._drop_later, self._missing[path] - now)
            return
        self._drop(path)

    def _drop_later(self, seconds: float) -> None:
        self._clock.sleep(max(seconds, 0))
        self._drop_missing()

    def _drop_missing(self) -> None:
        now = self._clock.now()
        for path, until in list(self._missing.items()):
            if now >= until:
                self._missing.pop(path)
                self._drop(path)

    def _drop(self, path: str) -> None:
        held = self._held.pop(path, None)
        if held is not None and self._remove is not None:
            self._remove(path.partition('/')[2])

    def _note_lost(self, error: StoreUnavailableError) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.now()
            write(
                _LOGGER,
                events.MIRROR_STALE,
                prefix=self._prefix,
                problem=error.problem,
            )

    def _note_back(self) -> None:
        lost_at, self._lost_at = self._lost_at, None
        if lost_at is None:
            return
        now = self._clock.now()
        self._back_at = now
        write(
            _LOGGER,
            events.MIRROR_RECOVERED,
            prefix=self._prefix,
            seconds=round(now - lost_at, 1),
        )
