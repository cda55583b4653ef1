"""Interface to upstreams of plain services."""

from typing import Protocol

import msgspec

from guavagate.models import RequestId


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to a plain service.

    Parameters
    ----------
    exchange
        Unique id of each attempt; an answer must not name another one.
    path
        Path and query, starting with a slash.
    headers
        Forwarded unchanged, except for hop-by-hop headers.
    key
        Idempotency key, forwarded if not empty.
    repeatable
        Whether the upstream may run the request twice.
    """

    exchange: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    key: str = ''
    repeatable: bool = False


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's load report, which may be slightly outdated."""

    running: int = 0
    queued: int = 0
    slots: int = 0
    leaving: bool = False


class PlainService(Protocol):
    """Sends requests to upstreams by address."""

    def call(
        self,
        address: str,
        request: ServiceRequest,
        timeout: float,
    ) -> ServiceAnswer:
        """Send the request once and return the complete answer.

        Raises
        ------
        UpstreamNotStartedError
            The upstream has not started: no connection was made, or it
            answered that it is leaving or overloaded.
        UpstreamError
            The request may have run: the connection broke, the answer was
            late, truncated or named another exchange.
        """

    def report(self, address: str, timeout: float) -> ServiceReport:
        """Return the upstream's report."""
