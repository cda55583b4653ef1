"""Mirrors all objects under a prefix of the store through a watch."""

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

# Each watch counts as one call, so a longer wait is cheaper. TCP keepalive, not
# this limit, detects a dead connection.
WATCH_SECONDS: Final = 15.0
# After a failure. It detects the end of an outage well within the one to two
# seconds in which a configuration must be in force.
RETRY_SECONDS: Final = 0.25
# After the first failure, as another route to the store is probably known.
FIRST_RETRY_SECONDS: Final = 0.05
# An object that is missing soon after an outage may have expired during it; its
# writer registers it again within about two seconds.
EXPIRY_GRACE_SECONDS: Final = 2.2

Put = Callable[[str, StoredObject], None]
Remove = Callable[[str], None]


class Mirror:
    """Lists the objects once, then watches them and reports each change.

    Parameters
    ----------
    put
        Called with the name and content of an object; must not block.
    remove
        Called with the name of a deleted object; must not block. Without it,
        deletions aren't reported.
    wait, pause
        Seconds that a watch may wait, and seconds to pause after a change so
        that the next changes arrive together.
    pause_after_list
        Whether to pause between the list and the first watch too.
    known_revisions
        Revisions known from another source, by path; those that a list lacks
        are reported as deleted.
    expires_in_outage
        Whether objects may expire during an outage of the store and be
        registered again; a missing one is then retained for a while.
    on_loaded
        Called after each complete list; must not block.
    on_proved
        Called each time that the mirror contains everything that the store
        had at some time, with that time by the boot clock; must not block.
        The time is when the request was sent, because its answer may have
        been in transit for the whole duration of the call.
    watch_proves
        Whether a completed watch counts as such a proof too. A watch may miss
        a change while the store drops its history; a list never does.
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
        # While `remove` is called: versions up to this one are gone.
        self.removed_revision = Revision(0)
        self._revisions: dict[str, Revision] = dict(known_revisions or {})
        self._since: Revision | None = None
        self._outage_since: float | None = None
        self._recovered_at = -EXPIRY_GRACE_SECONDS
        self._missing: dict[str, float] = {}
        self._unreadable = UnreadableObjects()
        self._task: Task | None = None
        self.loaded = False
        # Whether the reported change has just happened: a change that a list
        # reveals may be as old as the previous watch.
        self.is_live_change = False

    def start(self) -> None:
        """Start mirroring the store."""
        if self._task is None:
            self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop mirroring and forget all known revisions."""
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
                _LOGGER.debug(
                    'The store has dropped the watch history of %s',
                    self._prefix,
                )
            except StoreUnavailableError as error:
                is_retry = self._outage_since is not None
                self._record_outage(error)
                self._clock.sleep(
                    RETRY_SECONDS if is_retry else FIRST_RETRY_SECONDS
                )

    def _follow(self) -> None:
        """List all objects, or watch once from the last known revision."""
        since = self._since
        requested_at = self._boot_clock()
        if since is None:
            objects, listed_at = self._store.list_under(self._prefix)
            self._record_recovery()
            self._record_revision(listed_at)
            self._apply_list(objects)
            self.loaded = True
            self._report_proof(requested_at)
            if self._on_loaded is not None:
                self._on_loaded()
            if self._pause_after_list:
                self._clock.sleep(self._pause)
            return
        wait = EXPIRY_GRACE_SECONDS if self._missing else self._wait
        # If the store has dropped its history, a watch that resumes from an
        # older revision may wait and report the loss only at its end, which
        # would hide changes until then. An interrupted watch is therefore
        # never resumed; a new list returns the current objects.
        self._since = None
        changes, watched_to = self._store.watch(self._prefix, since, wait)
        self._record_recovery()
        self._record_revision(watched_to)
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
            # A list lacks whatever was removed by its revision. A watch that
            # reports a removal may report the next creation after it.
            self.removed_revision = (
                revision
                if self.is_live_change
                else max(revision, self.revision)
            )
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
