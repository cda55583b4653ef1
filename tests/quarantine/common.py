"""Parts of the quarantine for tests of what uses them."""

import random
from collections.abc import Callable

import msgspec

from guavagate.clock import Clock
from guavagate.http1 import refuses_connections
from guavagate.links import Bus, Handler, Message
from guavagate.measure.fakes import MemoryStore, StoreState
from guavagate.models import InstanceId, Revision, TeamId, UpstreamId, ZoneId
from guavagate.ports.store import StoredObject
from guavagate.quarantine import (
    EndDetector,
    Hubs,
    Quarantine,
    RequestContent,
    RequestIdentity,
    StoppedRequest,
)
from guavagate.routing import UpstreamTable

_ME = InstanceId('me')
# After the time of any clock in the tests, in Unix time.
_FAR_FUTURE = 4e9


class NoBus:
    """The bus of an instance without others."""

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Accept a handler that is never called."""


def make_quarantine(
    clock: Clock,
    upstreams: UpstreamTable | None = None,
    refuses: Callable[[str], bool] = refuses_connections,
) -> Quarantine:
    """Return the quarantine of a fleet of one instance."""
    table = upstreams or UpstreamTable(clock, ZoneId('z'))
    bus: Bus = NoBus()  # type: ignore[assignment]
    state = StoreState(rng=random.Random(1), sleep=clock.sleep)
    return Quarantine(
        clock,
        MemoryStore(clock, state, _ME),
        EndDetector(clock, refuses, table.get),
        lambda apply: Hubs(clock, bus, _ME, lambda: [_ME], apply),
    )


def stop(quarantine: Quarantine, content: RequestContent) -> None:
    """Stop a request, as a record of the store does."""
    record = StoppedRequest(
        identity=content.identify(),
        upstreams=(UpstreamId('i-1'), UpstreamId('i-2'), UpstreamId('i-3')),
        stopped_at=_FAR_FUTURE,
    )
    value = msgspec.json.encode(record)
    quarantine.put(StoredObject(record.path, value, Revision(1)))


def describe(
    target: str = '/a', *, team: str = '', body: bytes = b'x'
) -> RequestContent:
    """Return what a request is."""
    return RequestContent(
        team=TeamId(team), method='POST', host='h', target=target, body=body
    )


def identify(target: str = '/a', *, team: str = '') -> RequestIdentity:
    """Return the identity of a request."""
    return describe(target, team=team).identify()
