"""Reward requests over real sockets."""

from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.forwarding import AttemptRunner, RequestGuard, RewardForwarder
from guavagate.http1 import ConnectionPool, refuses_connections
from guavagate.models import ServiceId, TeamId, UpstreamId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.ports.configuration import Configuration, RouteKind
from guavagate.ports.rewards import RewardKind, RewardOutcome, RewardRequest
from guavagate.quarantine import RequestContent
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import make_quarantine, stop
from tests.routing.test_routes import make_route

_REWARD = RewardRequest(
    id='r-1', host='a.example', path='/p/x?y=%2F', body=b'\x00\xffrate'
)


def _answer(*headers: bytes, status: int = 200) -> bytes:
    body = b'ok'
    lines = [
        b'HTTP/1.1 %d X' % status,
        b'Content-Length: %d' % len(body),
        *headers,
    ]
    return b'\r\n'.join((*lines, b'', body))


_SEAL = b'Guavagate-Server-Seal: s-1'
_MINE = b'Guavagate-Request-Id: r-1'
_GOOD = _answer(_SEAL, _MINE)


class _Bench:
    """Upstreams that answer raw bytes, and a reward forwarder."""

    def __init__(
        self, refuses: Callable[[str], bool] = refuses_connections
    ) -> None:
        clock = SystemClock()
        self.requests: list[bytes] = []
        self.servers: list[StreamServer] = []
        self.routes = RouteTable()
        self.upstreams = UpstreamTable(clock, ZoneId('z'))
        self.put_route()
        self.quarantine = make_quarantine(clock, self.upstreams, refuses)
        self.client = RewardForwarder(
            clock,
            self.routes,
            self.upstreams,
            AttemptRunner(
                clock,
                ConnectionPool(clock),
                self.upstreams,
                PlatformDialect(),
                self.quarantine,
            ),
            PlatformDialect(),
            RequestGuard(self.quarantine, self.upstreams),
        )

    def put_route(
        self, kind: RouteKind = RouteKind.IDEMPOTENT, version: int = 1
    ) -> None:
        """Put a configuration in force."""
        route = make_route(
            '/p/', kind=kind, max_attempts=3, timeout=0.6, objective=0.2
        )
        self.routes.apply(Configuration(version=version, routes=(route,)))

    def add(self, name: str, *answers: bytes, zone: str = 'z') -> None:
        """Add an upstream that closes connections after its last answer."""
        remaining = list(answers)

        def serve(sock: socket.socket, _: object) -> None:
            data = sock.recv(65_536)
            if data:
                self.requests.append(data)
            if remaining and remaining[0] == b'silence':
                gevent.sleep(2)
            elif remaining:
                sock.sendall(remaining.pop(0))
            sock.close()

        server, upstream = start_upstream(name, zone, serve)
        self.servers.append(server)
        self.upstreams.put(upstream)

    def send(self) -> RewardOutcome:
        """Send the reward request."""
        with gevent.Timeout(5):
            return self.client.send(_REWARD)


@pytest.fixture
def bench() -> Iterator[_Bench]:
    """Return a bench whose servers stop after the test."""
    running = _Bench()
    yield running
    for server in running.servers:
        server.stop(0)


def test_a_reward_request_has_the_headers_of_callers_requests(
    bench: _Bench,
) -> None:
    """It has an id, a deadline and a target; path and body are unchanged."""
    bench.add('a', _GOOD)
    outcome = bench.send()
    assert (outcome.kind, outcome.signature) == (RewardKind.SUCCEEDED, 's-1')
    head, _, body = bench.requests[0].partition(b'\r\n\r\n')
    assert body == _REWARD.body
    lines = head.split(b'\r\n')
    assert lines[0] == b'POST /p/x?y=%2F HTTP/1.1'
    assert b'Guavagate-Request-Id: r-1' in lines
    assert b'Guavagate-Target-Instance: a' in lines
    assert any(line.startswith(b'Guavagate-Deadline-Ms: ') for line in lines)


@pytest.mark.parametrize(
    'spoilt',
    [
        _GOOD[:-1],
        _answer(_SEAL, b'Guavagate-Request-Id: r-9'),
        _answer(_MINE),
        b'no answer at all\r\n\r\n',
        b'',
        b'silence',
        _answer(b'Guavagate-Not-Executed: 1', status=503),
        _answer(b'Guavagate-Not-Executed: 1', status=429),
        _answer(status=421),
    ],
    ids=[
        'cut', 'crossed', 'no signature', 'spoilt', 'lost', 'silent', 'full',
        'limited', 'misdirected',
    ],
)  # fmt: skip
def test_an_unsuccessful_answer_gives_no_signature(
    bench: _Bench, spoilt: bytes
) -> None:
    """One such answer alone does not count as a failure of the item."""
    bench.add('a', spoilt)
    outcome = bench.send()
    assert outcome.kind is RewardKind.FAILED
    assert not outcome.signature
    assert outcome.failures == 0


def test_another_upstream_gives_the_signature(bench: _Bench) -> None:
    """One answers 500, one hangs; the third still answers in time."""
    bench.add('a', _answer(_SEAL, status=500))
    bench.add('b', b'silence', zone='y')
    bench.add('c', _GOOD, zone='y')
    outcome = bench.send()
    assert outcome.kind is RewardKind.SUCCEEDED
    assert outcome.failures == 1


def test_failures_are_counted_by_answers(bench: _Bench) -> None:
    """Three upstreams answer 500, which makes three failures of one item."""
    for name in 'abc':
        bench.add(name, _answer(_SEAL, status=500))
    outcome = bench.send()
    assert (outcome.kind, outcome.failures) == (RewardKind.FAILED, 3)


def test_the_route_of_a_reward_follows_the_configuration(
    bench: _Bench,
) -> None:
    """Routes for jobs or streams take no rewards; a route may be removed."""
    assert bench.client.find_route(_REWARD) is not None
    bench.put_route(RouteKind.JOB, version=2)
    assert bench.client.find_route(_REWARD) is None
    bench.routes.apply(Configuration(version=3))
    assert bench.client.find_route(_REWARD) is None
    assert bench.send().kind is RewardKind.NO_ROUTE


def test_rewards_are_not_sent_to_upstreams_without_free_slots(
    bench: _Bench,
) -> None:
    """One upstream has only callers' slots free, the other is ejected."""
    bench.add('a', _GOOD)
    bench.add('b', _GOOD, zone='y')
    service = ServiceId('s')
    assert bench.client.count_available(service) == 6
    bench.upstreams.load(UpstreamId('a')).in_flight = 3
    for _ in range(2):
        bench.upstreams.record_failure(UpstreamId('b'))
    assert bench.client.count_available(service) == 0
    assert bench.send().kind is RewardKind.FAILED
    assert not bench.requests


_CONTENT = RequestContent(
    team=TeamId(''),
    method='POST',
    host=_REWARD.host,
    target=_REWARD.path,
    body=_REWARD.body,
)


def test_a_reward_request_is_sent_though_its_content_is_stopped(
    bench: _Bench,
) -> None:
    """Its item is owed, and would otherwise wait for a day."""
    bench.add('a', _GOOD)
    stop(bench.quarantine, _CONTENT)
    assert bench.send().kind is RewardKind.SUCCEEDED


def test_upstreams_that_end_under_a_reward_request_stop_nothing() -> None:
    """A caller's request of the same content must not be stopped for it."""
    bench = _Bench(refuses=lambda address: True)
    for name in 'abc':
        bench.add(name)
    assert bench.send().lost
    assert len(bench.requests) == 3
    gevent.sleep(0.2)
    assert bench.quarantine.find(_CONTENT) is None
    assert not bench.quarantine.is_suspect(_CONTENT)
    for server in bench.servers:
        server.stop(0)
