"""Finds permits that their entries no longer use, and frees their slots.

A release is a single message, and it can be lost with its connection. The
symptom would be a sampler that has one slot less permanently. Therefore old
permits are checked at their entries, and those that are not in use are freed.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from guavagate.events import write
from guavagate.events.routing import PERMIT_RECLAIMED
from guavagate.exceptions import LinkError
from guavagate.models import InstanceId, RequestId
from guavagate.permits._messages import AskHeld, HeldReply
from guavagate.permits._owned import OwnedPool
from guavagate.runtime import Runtime

_LOGGER = logging.getLogger(__name__)

SCAN_INTERVAL_SECONDS: Final = 5.0
CHECK_TIMEOUT_SECONDS: Final = 2.0

FindMissing = Callable[[str, Iterable[RequestId]], tuple[RequestId, ...]]


class Reclaimer:
    """Checks old permits at their entries.

    Attributes
    ----------
    find_missing_locally
        Checks permits of this instance's own entry.
    """

    def __init__(
        self,
        runtime: Runtime,
        list_owned: Callable[[], list[OwnedPool]],
        schedule: Callable[[OwnedPool], None],
    ) -> None:
        self._runtime = runtime
        self._list_owned = list_owned
        self._schedule = schedule
        self.find_missing_locally: FindMissing | None = None

    def start(self) -> None:
        """Scan periodically until the instance stops."""
        self._runtime.clock.spawn(self._run)

    def scan(self) -> None:
        """Check all permits that are old now."""
        now = self._runtime.clock.now()
        for owned in self._list_owned():
            for entry, work_ids in owned.list_stale(now).items():
                self._reclaim(
                    owned, entry, self._find_missing(owned, entry, work_ids)
                )

    def _run(self) -> None:
        while True:
            self._runtime.clock.sleep(SCAN_INTERVAL_SECONDS)
            self.scan()

    def _find_missing(
        self,
        owned: OwnedPool,
        entry: InstanceId,
        work_ids: tuple[RequestId, ...],
    ) -> tuple[RequestId, ...]:
        pool = owned.spec.key
        if entry == self._runtime.settings.id:
            find = self.find_missing_locally
            return find(pool, work_ids) if find else ()
        request = AskHeld(pool=pool, work_ids=work_ids)
        try:
            return self._runtime.bus.request(
                entry, request, HeldReply, CHECK_TIMEOUT_SECONDS
            ).missing
        except LinkError:
            return ()

    def _reclaim(
        self,
        owned: OwnedPool,
        entry: InstanceId,
        missing: tuple[RequestId, ...],
    ) -> None:
        for work_id in missing:
            if owned.granted.pop(work_id, None) is None:
                continue
            write(_LOGGER, PERMIT_RECLAIMED, request=work_id, entry=entry)
            owned.pool.cancel(work_id, self._runtime.clock.now())
        if missing:
            self._schedule(owned)
