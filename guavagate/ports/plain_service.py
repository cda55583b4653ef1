"""An upstream of a plain service as the rest of guavagate sees it."""

from typing import Protocol

import msgspec

from guavagate.models import RequestId


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One call to a plain service.

    Parameters
    ----------
    exchange
        Unique for each attempt; the answer must not name another one.
    path
        Path with its query, starting with a slash.
    headers
        Passed on as they are, but for those of one connection alone.
    key
        Idempotency key, passed on when there is one.
    repeatable
        Whether the upstream may run it twice.
    """

    exchange: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    key: str = ''
    repeatable: bool = False


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of its load, with a lag."""

    running: int = 0
    queued: int = 0
    slots: int = 0
    leaving: bool = False


class PlainService(Protocol):
    """Speaks to one upstream by its address."""

    def call(
        self,
        address: str,
        request: ServiceRequest,
        timeout: float,
    ) -> ServiceAnswer:
        """Send the request once and return the whole answer.

        Raises
        ------
        UpstreamNotStartedError
            The upstream certainly has not started: no connection, or it
            said that it is leaving or overloaded.
        UpstreamError
            It may have run: broken off, too late, cut short, or answered
            under another exchange.
        """

    def report(self, address: str, timeout: float) -> ServiceReport:
        """Return the upstream's report."""
