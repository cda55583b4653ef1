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
EXPIRY_GRACE_SECONDS: Final = 2.2

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
    pause_after_list
        Whether the first watch, too, waits for the pause.
    known_revisions
        Versions known from elsewhere, by path; what a list lacks of them is
        told as gone.
    expires_in_outage
        Whether objects may lapse while the store is away and come back by
        themselves; then one that is missing is kept for a while.
    on_loaded
        Called, without blocking, each time that all was listed.
    on_proved
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
        expires_in_outage: bool = False,
        wait: float | None = None,
        pause: float = 0,
        pause_after_list: bool = False,
        known_revisions: dict[str, Revision] | None = None,
        on_loaded: Callable[[], None] | None = None,
        on_proved: Callable[[float], None] | None = None,
        watch_proves: bool = True,
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._on_proved = on_proved
        self._watch_proves = watch_proves
        self._boot_clock = boot_clock
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._put = put
        self._remove = remove
        self._on_loaded = on_loaded
        self._expires_in_outage = expires_in_outage
        self._wait = WATCH_SECONDS if wait is None else wait
        self._pause = pause
        self._pause_after_list = pause_after_list
        self.confirmed_at = float(0)
        self.revision = Revision(0)
        self._revisions: dict[str, Revision] = dict(known_revisions or {})
        self._since: Revision | None = None
        self._outage_since: float | None = None
        self._recovered_at = -EXPIRY_GRACE_SECONDS
        self._missing: dict[str, float] = {}
        self._unreadable = UnreadableObjects()
        self._task: Task | None = None
        self.loaded = False
        # Whether what is told just now has happened just now: a list tells of
        # what may be as old as the watch before it.
        self.is_live_change = False

    def start(self) -> None:
        """Begin to follow the store."""
        if self._task is None:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop following and forget what is held."""
        if self._task is not None:
            self._task.kill(block=False)
            self._task = None
        self._revisions.clear()
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
                again = self._outage_since is not None
                self._record_outage(error)
                self._clock.sleep(
                    RETRY_SECONDS if again else FIRST_RETRY_SECONDS
                )

    def _follow(self) -> None:
        since = self._since
        requested_at = self._boot_clock()
        if since is None:
            objects, listed_at = self._store.list_under(self._prefix)
            self._record_recovery()
            self._apply_list(objects)
            self._record_revision(listed_at)
            self.loaded = True
            self._report_proof(requested_at)
            if self._on_loaded is not None:
                self._on_loaded()
            if self._pause_after_list:
                self._clock.sleep(self._pause)
            return
        wait = EXPIRY_GRACE_SECONDS if self._missing else self._wait
        # A watch that is asked again from before a dropped history may be
        # kept waiting, and tell of the loss only when it ends: changes made
        # meanwhile would stay unseen. So a watch that was cut off is never
        # gone on with; the list says what is there now.
        self._since = None
        changes, seen = self._store.watch(self._prefix, since, wait)
        self._record_recovery()
        self._record_revision(seen)
        self.is_live_change = True
        for change in changes:
            if change.value is None:
                self._handle_missing(change.path)
            else:
                self._apply(
                    StoredObject(change.path, change.value, change.version)
                )
        self._drop_missing()
        if self._watch_proves:
            self._report_proof(requested_at)
        if changes and self._pause:
            self._clock.sleep(self._pause)

    def _record_revision(self, revision: Revision) -> None:
        self._since = revision
        self.revision = revision
        self.confirmed_at = self._clock.now()

    def _report_proof(self, requested_at: float) -> None:
        if self._on_proved is not None:
            self._on_proved(requested_at)

    def _apply_list(self, objects: list[StoredObject]) -> None:
        self.is_live_change = False
        present = {each.path for each in objects}
        for path in [each for each in self._revisions if each not in present]:
            self._handle_missing(path)
        for each in objects:
            self._apply(each)
        self._drop_missing()

    def _apply(self, stored: StoredObject) -> None:
        self._missing.pop(stored.path, None)
        if self._revisions.get(stored.path, -1) >= stored.version:
            return
        self._revisions[stored.path] = stored.version
        name = stored.path.partition('/')[2]
        try:
            self._put(name, stored)
        except ValueError as error:
            self._unreadable.report(stored.path, str(error))
        else:
            self._unreadable.forget(stored.path)

    def _handle_missing(self, path: str) -> None:
        if path not in self._revisions:
            return
        now = self._clock.now()
        since_recovery = now - self._recovered_at
        if self._expires_in_outage and since_recovery < EXPIRY_GRACE_SECONDS:
            self._missing.setdefault(
                path, self._recovered_at + EXPIRY_GRACE_SECONDS
            )
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
        revision = self._revisions.pop(path, None)
        if revision is not None and self._remove is not None:
            self._remove(path.partition('/')[2])

    def _record_outage(self, error: StoreUnavailableError) -> None:
        if self._outage_since is None:
            self._outage_since = self._clock.now()
            write(
                _LOGGER,
                events.MIRROR_STALE,
                prefix=self._prefix,
                problem=error.problem,
            )

    def _record_recovery(self) -> None:
        outage_since, self._outage_since = self._outage_since, None
        if outage_since is None:
            return
        now = self._clock.now()
        self._recovered_at = now
        write(
            _LOGGER,
            events.MIRROR_RECOVERED,
            prefix=self._prefix,
            seconds=round(now - outage_since, 1),
        )
