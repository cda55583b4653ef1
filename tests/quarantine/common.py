"""Parts of the quarantine for tests of what uses them."""

from guavagate.clock import Clock
from guavagate.http1 import refuses_connections
from guavagate.models import ZoneId
from guavagate.quarantine import EndDetector
from guavagate.routing import UpstreamTable


def make_ends(
    clock: Clock, upstreams: UpstreamTable | None = None
) -> EndDetector:
    """Return a detector that connects to the upstreams' addresses."""
    table = upstreams or UpstreamTable(clock, ZoneId('z'))
    return EndDetector(clock, refuses_connections, table.get)
