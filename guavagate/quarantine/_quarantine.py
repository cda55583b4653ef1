"""One instance's view of the requests that the fleet has stopped.

Each instance tells what its requests did at upstreams that ended, two hubs
judge what all have told, and every instance stops what they name. The records
are in the store, from where instances that start later, or that were cut off,
receive them.
"""

import logging
import uuid
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import StoreConflictError, StoreError
from guavagate.models import Revision, UpstreamId
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine._ends import BrokenRun, EndDetector, EndedUpstream
from guavagate.quarantine._evidence import Evidence
from guavagate.quarantine._hubs import Hubs
from guavagate.quarantine._identity import RequestContent, RequestIdentity
from guavagate.quarantine._messages import Findings, SuspectRun, UpstreamEnd
from guavagate.quarantine._records import StoppedRequest, decode_record
from guavagate.quarantine._stops import StopTable

_LOGGER: Final = logging.getLogger(__name__)

# Other instances' reports about the same end arrive within this time. Without
# them, a request that ran beside the cause may seem to be the cause.
JUDGE_SECONDS: Final = 0.05
# The first hub writes a record at once. Another one writes it if it is not in
# the store after this time.
TAKEOVER_SECONDS: Final = 1.5
MIN_RETRY_SECONDS: Final = 0.25
MAX_RETRY_SECONDS: Final = 1.0
SWEEP_INTERVAL_SECONDS: Final = 60.0
_MISSING: Final = Revision(0)

MakeHubs = Callable[[Callable[[Findings], None]], Hubs]


class Quarantine:
    """Tells which requests are stopped, and stops others by evidence.

    Parameters
    ----------
    detector
        Detects ends of upstreams; this object sets its `on_end`.
    make_hubs
        Makes the way to the other instances, with what applies findings.
    """

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        detector: EndDetector,
        make_hubs: MakeHubs,
    ) -> None:
        self._clock = clock
        self._store = store
        self._detector = detector
        detector.on_end = self._report_end
        self._hubs = make_hubs(self._apply)
        self._evidence = Evidence()
        self._stops = StopTable()
        self._stored: set[str] = set()
        self._judging = False
        self._was_saturated = False
        self._subscribers: list[Callable[[], None]] = []
        self._end_subscribers: list[Callable[[UpstreamId, int], None]] = []

    def start(self) -> None:
        """Start removing the records whose time is over."""
        self._clock.spawn(self._sweep_periodically)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not block, after each change."""
        self._subscribers.append(callback)

    def subscribe_ends(
        self, callback: Callable[[UpstreamId, int], None]
    ) -> None:
        """Call `callback`, which must not block, for each ended upstream.

        It receives the id and the incarnation that ended.
        """
        self._end_subscribers.append(callback)

    @property
    def size(self) -> int:
        """Return the number of stopped requests."""
        return len(self._stops)

    # For those who send requests to upstreams.

    def find(self, content: RequestContent) -> StoppedRequest | None:
        """Return the record of a request that is stopped, or `None`."""
        return self._drop_expired(self._stops.find(content))

    def find_identity(self, identity: RequestIdentity) -> StoppedRequest | None:
        """Return the record of a request that is stopped, or `None`."""
        return self._drop_expired(self._stops.find_identity(identity))

    def is_suspect(self, content: RequestContent) -> bool:
        """Return whether upstreams ended under a request, but too few yet."""
        if not self._evidence.has_path(content.digest_path()):
            return False
        return self._evidence.is_suspect(content.identify())

    def compute_wait(self, record: StoppedRequest) -> float:
        """Return in how many seconds a stopped request may be sent again."""
        return record.compute_remaining(self._clock.wall())

    def record_break(self, upstream: Upstream, run: BrokenRun) -> None:
        """Record that an upstream closed the connection of a request."""
        self._detector.record_break(upstream, run)

    def record_answer(self, content: RequestContent) -> None:
        """Record that an upstream answered a request and did not end."""
        if self._evidence.is_empty:
            return
        if self._evidence.has_path(content.digest_path()):
            self.record_identity_answer(content.identify())

    def record_identity_answer(self, identity: RequestIdentity) -> None:
        """Record that an upstream answered a request and did not end."""
        if self._evidence.has_content(identity.content):
            self._hubs.report(Findings(answers=(identity,)))

    # For the source of the store's records.

    def put(self, stored: StoredObject) -> None:
        """Apply a record of the store; raises `ValueError`."""
        record = decode_record(stored.value)
        self._stored.add(record.name)
        self._add(record)

    def remove(self, name: str) -> None:
        """Let a request run again whose record was removed."""
        self._stored.discard(name)
        record = self._stops.pop(name)
        if record is not None:
            self._evidence.forget(record.identity.content)
            write(_LOGGER, events.REQUEST_RELEASED, record=name)
            self._notify()

    # Evidence.

    def _report_end(self, ended: EndedUpstream) -> None:
        if ended.expected:
            return
        runs = tuple(
            SuspectRun(identity=run.identity, seconds=run.seconds)
            for run in ended.runs
            if run.identity is not None
        )
        end = UpstreamEnd(
            report=uuid.uuid4().hex,
            upstream=ended.upstream,
            incarnation=ended.incarnation,
            runs=runs,
        )
        self._hubs.report(Findings(ends=(end,)))

    def _apply(self, findings: Findings) -> None:
        now = self._clock.now()
        for end in findings.ends:
            if not self._evidence.record_end(end, now):
                continue
            for callback in self._end_subscribers:
                callback(end.upstream, end.incarnation)
        for identity in findings.answers:
            self._evidence.record_answer(identity)
        for record in findings.stops:
            if record.name not in self._stops:
                self._evidence.record_stop(now)
            self._add(record)
        if (findings.ends or findings.answers) and not self._judging:
            self._judging = True
            self._clock.spawn(self._judge)

    def _judge(self) -> None:
        self._clock.sleep(JUDGE_SECONDS)
        self._judging = False
        if self._hubs.place is None:
            return
        culprits = self._evidence.find_culprits(
            lambda identity: self.find_identity(identity) is not None,
            self._clock.now(),
        )
        if self._evidence.is_saturated and not self._was_saturated:
            write(_LOGGER, events.TOO_MANY_CULPRITS, stopped=self.size)
        self._was_saturated = self._evidence.is_saturated
        if culprits:
            stopped_at = self._clock.wall()
            stops = tuple(
                StoppedRequest(
                    identity=each.identity,
                    upstreams=each.upstreams,
                    stopped_at=stopped_at,
                )
                for each in culprits
            )
            self._hubs.report(Findings(stops=stops))

    # Records.

    def _add(self, record: StoppedRequest) -> None:
        if record.name in self._stops:
            return
        self._stops.add(record)
        write(
            _LOGGER,
            events.REQUEST_STOPPED,
            record=record.name,
            content=record.identity.content,
            query=record.identity.query,
            upstreams=record.upstreams,
            seconds=round(self.compute_wait(record)),
        )
        self._notify()
        self._clock.spawn(self._store_record, record)

    def _store_record(self, record: StoppedRequest) -> None:
        """Write a record if this instance is a hub and no other did."""
        if self._hubs.place != 0:
            self._clock.sleep(TAKEOVER_SECONDS)
        retry = MIN_RETRY_SECONDS
        while record.name in self._stops and record.name not in self._stored:
            if self._hubs.place is not None and self._try_to_store(record):
                return
            self._clock.sleep(retry)
            retry = min(retry * 2, MAX_RETRY_SECONDS)

    def _try_to_store(self, record: StoppedRequest) -> bool:
        encoded = msgspec.json.encode(record)
        try:
            self._store.put(record.path, encoded, _MISSING)
        except StoreConflictError:
            return True
        except StoreError as error:
            _LOGGER.debug('could not write %s: %s', record.path, error)
            return False
        return True

    def _drop_expired(
        self, record: StoppedRequest | None
    ) -> StoppedRequest | None:
        if record is None or not self.compute_wait(record):
            return None
        return record

    def _sweep_periodically(self) -> None:
        while True:
            self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            if self._hubs.place == 0:
                self._sweep()

    def _sweep(self) -> None:
        """Remove the records whose time is over from the store."""
        for record in self._stops:
            if self.compute_wait(record):
                continue
            try:
                self._store.delete(record.path, None)
            except StoreError as error:
                _LOGGER.debug('could not remove %s: %s', record.path, error)

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()
