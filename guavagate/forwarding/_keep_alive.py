"""Keeps idle connections to upstreams until the next request.

Load pattern: seventy instances share three upstreams, and each sends a request
every twelve seconds. Upstreams close idle connections after ten, so that every
second request opens a new one, which costs as much as thirty probes.

A probe of the health path over an idle connection has its upstream keep it.
Each answered request pays for a few probes, so that an instance without
requests lets its connections go. Only services that report a slowdown are
probed; others do not expect probes at all times.
"""

from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.http1 import ConnectionPool
from guavagate.models import UpstreamId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable

# Probes in a row that keep a connection. In the model of the load
# (tests/routing/test_load_model.py), four halve the new connections.
MAX_PROBES: Final = 4
# A connection is probed this long before it is too old to be used.
MARGIN_SECONDS: Final = 1.0
_SWEEP_SECONDS: Final = 0.4
# The health path answers at once; a longer wait only delays the next sweep.
_PROBE_SECONDS: Final = 0.25


class ConnectionKeepAlive:
    """Probes over idle connections before they are too old.

    Parameters
    ----------
    probe
        Probes an upstream over an idle connection, for some seconds at most.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        upstreams: UpstreamTable,
        probe: Callable[[Upstream, float], object],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._upstreams = upstreams
        self._probe = probe
        # Answered requests at the last probe of an upstream, and how many
        # probes there were since the newest answer.
        self._spent: dict[UpstreamId, tuple[int, int]] = {}

    def start(self) -> None:
        """Start a task that keeps connections."""
        self._clock.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._clock.sleep(_SWEEP_SECONDS)
            self.probe_due()

    def probe_due(self) -> None:
        """Probe where the newest idle connection is nearly too old."""
        for upstream in self._upstreams.registered():
            left = self._pool.get_idle_seconds_left(upstream.address)
            if left is not None and 0 <= left <= MARGIN_SECONDS:
                self._keep(upstream)

    def _keep(self, upstream: Upstream) -> None:
        load = self._upstreams.load(upstream.id)
        if load.report.slowdown is None:
            return
        if self._upstreams.find_obstacle(upstream) is not None:
            return
        answers, probes = self._spent.get(upstream.id, (0, 0))
        if load.answers > answers:
            probes = 0
        if probes < MAX_PROBES:
            self._spent[upstream.id] = load.answers, probes + 1
            self._clock.spawn(self._probe, upstream, _PROBE_SECONDS)
