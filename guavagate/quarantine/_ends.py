"""Detects that an upstream ended while it ran requests.

A connection that breaks does not tell why: the upstream may have lost one
answer, or its process may have ended with everything that it ran. A process
that has ended accepts no connection, so one is tried. An upstream that was cut
off or suspended does not answer the attempt, and has not ended.
"""

import logging
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.models import UpstreamId
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine._identity import RequestIdentity

_LOGGER: Final = logging.getLogger(__name__)

# The connections of an upstream that ends break one after the other; all are
# reported together.
GATHER_SECONDS: Final = 0.01


class BrokenRun(msgspec.Struct, frozen=True, kw_only=True):
    """A request whose connection to an upstream broke while it ran there.

    `request` is the id that it had, `seconds` how long it ran. One without an
    `identity` is never stopped, whatever upstreams end under it.
    """

    request: str
    seconds: float
    identity: RequestIdentity | None = None


class EndedUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream that ended, and the requests that it ran for this instance.

    `expected` means that the upstream was leaving or no longer registered, so
    that its end needs no cause.
    """

    upstream: UpstreamId
    incarnation: int
    expected: bool
    runs: tuple[BrokenRun, ...]


def _ignore(ended: EndedUpstream) -> None:
    """Do nothing."""


class EndDetector:
    """Finds out which upstreams have ended, from connections that broke.

    Parameters
    ----------
    refuses
        Returns whether an address refuses connections; may block.
    find
        Returns an upstream's registration, or `None`.
    on_end
        Called with each upstream that has ended; must not block.
    """

    def __init__(
        self,
        clock: Clock,
        refuses: Callable[[str], bool],
        find: Callable[[UpstreamId], Upstream | None],
        on_end: Callable[[EndedUpstream], None] = _ignore,
    ) -> None:
        self._clock = clock
        self._refuses = refuses
        self._find = find
        self.on_end = on_end
        self._broken: dict[UpstreamId, list[BrokenRun]] = {}

    def record_break(self, upstream: Upstream, run: BrokenRun) -> None:
        """Record a connection that broke while a request ran."""
        runs = self._broken.setdefault(upstream.id, [])
        runs.append(run)
        if len(runs) == 1:
            self._clock.spawn(self._check, upstream)

    def _check(self, upstream: Upstream) -> None:
        self._clock.sleep(GATHER_SECONDS)
        ended = self._refuses(upstream.address)
        runs = self._broken.pop(upstream.id)
        if not ended:
            return
        registered = self._find(upstream.id)
        ended_upstream = EndedUpstream(
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            expected=registered is None or registered.leaving,
            runs=tuple(runs),
        )
        _log(ended_upstream)
        self.on_end(ended_upstream)


def _log(ended: EndedUpstream) -> None:
    for run in ended.runs:
        identity = run.identity
        write(
            _LOGGER,
            events.UPSTREAM_ENDED,
            request=run.request,
            upstream=ended.upstream,
            expected=ended.expected,
            content='' if identity is None else identity.content,
            query='' if identity is None else identity.query,
            seconds=round(run.seconds, 3),
        )
