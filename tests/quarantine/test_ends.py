"""Only an upstream whose process has ended counts as ended."""

import gevent
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import PausedClock
from guavagate.http1 import refuses_connections
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import (
    BrokenRun,
    EndDetector,
    EndedUpstream,
)
from guavagate.routing import UpstreamTable
from tests.quarantine.common import identify
from tests.routing.test_routes import make_upstream


class _Bench:
    """A detector with upstreams whose addresses refuse connections or not."""

    def __init__(self) -> None:
        self.clock = PausedClock()
        self.upstreams = UpstreamTable(self.clock, ZoneId('z'))
        self.refusing = True
        self.probes = 0
        self.ended: list[EndedUpstream] = []
        self.detector = EndDetector(
            self.clock, self._refuses, self.upstreams.get, self.ended.append
        )

    def break_run(self, upstream: Upstream, request: str) -> None:
        """Break the connection of a request."""
        identity = identify(f'/{request}')
        run = BrokenRun(request=request, identity=identity, seconds=0.1)
        self.detector.record_break(upstream, run)

    def list_requests(self) -> list[list[str]]:
        """Return the ids of the requests under which upstreams ended."""
        return [[run.request for run in each.runs] for each in self.ended]

    def _refuses(self, address: str) -> bool:
        self.probes += 1
        return self.refusing


def test_an_upstream_that_lost_an_answer_has_not_ended() -> None:
    """The connection breaks, but the upstream accepts others."""
    bench = _Bench()
    bench.refusing = False
    bench.break_run(make_upstream('a'), '1')
    bench.clock.advance(1)
    assert bench.probes == 1
    assert not bench.ended


def test_all_requests_of_an_upstream_that_ended_are_reported_together() -> None:
    """Their connections break one after the other; one probe is enough."""
    bench = _Bench()
    upstream = make_upstream('a')
    bench.upstreams.put(upstream)
    bench.break_run(upstream, '1')
    bench.break_run(upstream, '2')
    bench.clock.advance(1)
    assert bench.probes == 1
    assert bench.list_requests() == [['1', '2']]
    assert not bench.ended[0].expected


def test_the_end_of_a_leaving_upstream_is_expected() -> None:
    """A reclaimed sampler ends with its last requests cut off."""
    bench = _Bench()
    bench.upstreams.put(make_upstream('a', leaving=True))
    bench.break_run(make_upstream('a'), '1')
    bench.break_run(make_upstream('b'), '2')
    bench.clock.advance(1)
    assert all(each.expected for each in bench.ended)
    assert bench.upstreams.get(UpstreamId('b')) is None


def test_only_a_closed_port_refuses_connections() -> None:
    """A suspended process still accepts connections, an ended one none."""
    server = StreamServer(('127.0.0.1', 0), lambda *_: gevent.sleep(1))
    server.start()
    address = f'127.0.0.1:{server.server_port}'
    assert not refuses_connections(address)
    server.stop()
    assert refuses_connections(address)


def test_an_address_without_an_answer_does_not_refuse() -> None:
    """The queue of a suspended process is full: the attempt times out."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = listener.getsockname()
        waiting = [socket.socket() for _ in range(4)]
        for each in waiting:
            each.setblocking(False)
            each.connect_ex(address)
        assert not refuses_connections(f'127.0.0.1:{address[1]}')
        for each in waiting:
            each.close()
