"""Reward requests through the callers' mechanism, over real sockets."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.forwarding import Attempts, RewardForwarder
from guavagate.http1 import ConnectionPool
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.ports.configuration import Configuration, RouteKind
from guavagate.ports.rewards import RewardKind, RewardOutcome, RewardRequest
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
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


class _Setting:
    """Upstreams that answer raw bytes, and a forwarder of rewards."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.requests: list[bytes] = []
        self.servers: list[StreamServer] = []
        self.routes = RouteTable()
        self.upstreams = UpstreamTable(clock, ZoneId('z'))
        self.put_route()
        self.client = RewardForwarder(
            clock,
            self.routes,
            self.upstreams,
            Attempts(
                clock, ConnectionPool(clock), self.upstreams, PlatformDialect()
            ),
            PlatformDialect(),
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
        """Add an upstream; after its last answer it closes at once."""
        left = list(answers)

        def serve(sock: socket.socket, _: object) -> None:
            data = sock.recv(65_536)
            if data:
                self.requests.append(data)
            if left and left[0] == b'silence':
                gevent.sleep(2)
            elif left:
                sock.sendall(left.pop(0))
            sock.close()

        server, upstream = start_upstream(name, zone, serve)
        self.servers.append(server)
        self.upstreams.put(upstream)

    def send(self) -> RewardOutcome:
        """Send the reward request."""
        with gevent.Timeout(5):
            return self.client.send(_REWARD)


@pytest.fixture
def setting() -> Iterator[_Setting]:
    """One setting; its servers end with the test."""
    held = _Setting()
    yield held
    for server in held.servers:
        server.stop(0)


def test_a_reward_is_sent_as_callers_requests_are(setting: _Setting) -> None:
    """Its own id, a deadline, the target's id; path and body byte for byte."""
    setting.add('a', _GOOD)
    outcome = setting.send()
    assert (outcome.kind, outcome.signature) == (RewardKind.SUCCEEDED, 's-1')
    head, _, body = setting.requests[0].partition(b'\r\n\r\n')
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
def test_what_is_no_whole_success_gives_no_signature(
    setting: _Setting, spoilt: bytes
) -> None:
    """Each is what one upstream answers; alone it is no failure of the item."""
    setting.add('a', spoilt)
    outcome = setting.send()
    assert outcome.kind is RewardKind.FAILED
    assert not outcome.signature
    assert outcome.failures == 0


def test_another_upstream_gives_the_signature(setting: _Setting) -> None:
    """One fails with 500, one is silent; the third is asked in time."""
    setting.add('a', _answer(_SEAL, status=500))
    setting.add('b', b'silence', zone='y')
    setting.add('c', _GOOD, zone='y')
    outcome = setting.send()
    assert outcome.kind is RewardKind.SUCCEEDED
    assert outcome.failures == 1


def test_failures_are_counted_by_answers(setting: _Setting) -> None:
    """Three upstreams answer 500: three failures of one item."""
    for name in 'abc':
        setting.add(name, _answer(_SEAL, status=500))
    outcome = setting.send()
    assert (outcome.kind, outcome.failures) == (RewardKind.FAILED, 3)


def test_where_a_reward_goes_follows_the_configuration(
    setting: _Setting,
) -> None:
    """A route that takes jobs or streams rates nothing; one may be dropped."""
    assert setting.client.find_route(_REWARD) is not None
    setting.put_route(RouteKind.JOB, version=2)
    assert setting.client.find_route(_REWARD) is None
    setting.routes.apply(Configuration(version=3))
    assert setting.client.find_route(_REWARD) is None
    assert setting.send().kind is RewardKind.NO_ROUTE


def test_rewards_go_to_no_upstream_without_room(setting: _Setting) -> None:
    """All places but the callers' are taken, and one upstream is ejected."""
    setting.add('a', _GOOD)
    setting.add('b', _GOOD, zone='y')
    service = ServiceId('s')
    assert setting.client.count_available(service) == 6
    setting.upstreams.load(UpstreamId('a')).in_flight = 3
    for _ in range(2):
        setting.upstreams.record_failure(UpstreamId('b'))
    assert setting.client.count_available(service) == 0
    assert setting.send().kind is RewardKind.FAILED
    assert not setting.requests
