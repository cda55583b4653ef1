"""Sends probes to upstreams' health paths.

An upstream answers its health path at once and without taking a slot, so an
unanswered probe says more than a request that takes long. A probe reports
nothing by itself; what it found is for the caller to record.
"""

import enum
import functools
from collections.abc import Callable
from typing import Final, TypeAlias

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import (
    UpstreamError,
    UpstreamExcludedError,
    UpstreamUnreachableError,
)
from guavagate.http1 import ConnectionPool
from guavagate.metrics import Metrics, names
from guavagate.ports.dialect import ProbeDialect
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing import RouteTable, UpstreamTable

# A time-out that comes this much too late says nothing about the upstream: this
# process itself was suspended, and the answer may lie in its socket.
SUSPENDED_SECONDS: Final = 0.1
# The answer of a health path is empty or a few words.
MAX_PROBE_BYTES: Final = 100_000


class ProbeState(enum.Enum):
    """What a probe found.

    `UNKNOWN`: it was not sent, or its connection ended while it was awaited.
    """

    ANSWERED = 'answered'
    TIMED_OUT = 'timed out'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class ProbeResult(msgspec.Struct, frozen=True):
    """What a probe found, and the load that the upstream reported."""

    state: ProbeState
    load: LoadReport = LoadReport()


# Sends a probe and waits up to some seconds; whether it may open a connection.
Probe: TypeAlias = Callable[[Upstream, float, bool], ProbeResult]


class _ProbeExpiredError(Exception):
    """The time of a probe is over."""


class Prober:
    """Sends probes over the connections of a pool; a `Probe`."""

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        routes: RouteTable,
        dialect: ProbeDialect,
        metrics: Metrics,
        upstreams: UpstreamTable,
    ) -> None:
        self._upstreams = upstreams
        self._clock = clock
        self._pool = pool
        self._routes = routes
        self._dialect = dialect
        self._metrics = metrics

    def probe(
        self, upstream: Upstream, seconds: float, connect: bool
    ) -> ProbeResult:
        """Probe an upstream, if its service has a health path."""
        service = self._routes.find_service(upstream.service)
        if service is None or not service.health_path:
            return ProbeResult(ProbeState.UNKNOWN)
        try:
            self._upstreams.check(upstream)
        except UpstreamExcludedError:
            return ProbeResult(ProbeState.UNKNOWN)
        sent_at = self._clock.now()
        try:
            with self._clock.timeout(seconds, _ProbeExpiredError):
                result = self._send(upstream, service.health_path, connect)
        except _ProbeExpiredError:
            late = self._clock.now() - sent_at - seconds
            suspended = late > SUSPENDED_SECONDS
            result = ProbeResult(
                ProbeState.UNKNOWN if suspended else ProbeState.TIMED_OUT
            )
        self._metrics.count(names.PROBES, state=result.state.value)
        return result

    def _send(
        self, upstream: Upstream, path: str, connect: bool
    ) -> ProbeResult:
        request = self._dialect.make_probe(upstream, path)
        try:
            answer = self._pool.send(
                upstream.address,
                request,
                timeout=None,
                connect=connect,
                is_own=functools.partial(self._dialect.owns_probe, upstream),
            )
        except UpstreamUnreachableError as error:
            if refused_connection(error):
                return ProbeResult(ProbeState.REFUSED)
            return ProbeResult(ProbeState.TIMED_OUT)
        except UpstreamError:
            return ProbeResult(ProbeState.UNKNOWN)
        try:
            answer.read(MAX_PROBE_BYTES)
        except UpstreamError:
            return ProbeResult(ProbeState.UNKNOWN)
        finally:
            answer.close()
        load = self._dialect.read_probe(answer)
        if load is None:
            # The upstream itself is gone from this address.
            return ProbeResult(ProbeState.REFUSED)
        return ProbeResult(ProbeState.ANSWERED, load)


def refused_connection(error: UpstreamError) -> bool:
    """Return whether an address refused a connection, so nothing listens."""
    return isinstance(error.__cause__, ConnectionRefusedError)
