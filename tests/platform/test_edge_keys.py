"""Keys at the edge, with real sockets and a real upstream."""

import math
from collections.abc import Iterator
from urllib.parse import quote

import gevent
import pytest
from gevent import socket

from guavagate.admission import EntryMemory
from guavagate.auth import hash_token, make_bounds
from guavagate.clock import SystemClock
from guavagate.exceptions import StoreUnavailableError
from guavagate.forwarding import (
    AttemptRunner,
    Forwarder,
    RequestGuard,
    StreamForwarder,
)
from guavagate.front import (
    BodyReader,
    JobHandler,
    KeyAuthenticator,
    RequestHandler,
)
from guavagate.http1 import ConnectionPool, HttpServer, ServerLimits
from guavagate.jobs import Job, LookupStatus
from guavagate.metrics import Metrics
from guavagate.models import TeamId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._edge import Edge
from guavagate.platform._jobs import encode_page
from guavagate.ports.configuration import Configuration, RouteKind, Team
from guavagate.routing import RouteTable, UpstreamTable
from tests.admission.common import make_admission
from tests.forwarding.common import start_upstream
from tests.quarantine.common import make_quarantine
from tests.routing.test_routes import make_route

_ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nGuavagate-Request-Id: r-1\r\n'
    b'Guavagate-Server-Seal: s\r\n\r\nok'
)
_BLUE = TeamId('blue')
_TEAMS = (Team(id=_BLUE, key_hashes=(hash_token('key-1'),)),)


class _FakeJobs:
    """Fake job store and reader that record the team of each call."""

    def __init__(self) -> None:
        self.teams: list[TeamId] = []

    def accept(self, job: Job, limit: float) -> bool:
        """Record the team of an accepted job."""
        self.teams.append(job.team)
        return True

    def cache_job(self, job: Job) -> None:
        """Do nothing."""

    def read(self, *args: object) -> tuple[LookupStatus, None]:
        """Record the team; find no job."""
        self.teams.append(args[-1])  # type: ignore[arg-type]
        return LookupStatus.MISSING, None

    def read_item(self, *args: object) -> tuple[LookupStatus, bytes]:
        """Record the team; find no item."""
        self.teams.append(args[-1])  # type: ignore[arg-type]
        return LookupStatus.MISSING, b''

    def exists(self, *args: object) -> LookupStatus:
        """Record the team; find no job to end."""
        self.teams.append(args[-1])  # type: ignore[arg-type]
        return LookupStatus.MISSING

    def end(self, *args: object) -> None:
        """Fail: no job can be ended."""
        raise StoreUnavailableError('no store', 'nothing')


class _EdgeBench:
    """An edge with one upstream that records what it receives."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.age = float(0)
        self.seen: list[bytes] = []
        self.usage: list[TeamId] = []
        self.jobs = _FakeJobs()
        self.routes = RouteTable()
        self.put(_TEAMS)
        upstreams = UpstreamTable(clock, ZoneId('z'))
        self.upstream, upstream = start_upstream('u', 'z', self._serve)
        upstreams.put(upstream)
        quarantine = make_quarantine(clock, upstreams)
        guard = RequestGuard(quarantine, upstreams)
        runner = AttemptRunner(
            clock,
            ConnectionPool(clock),
            upstreams,
            PlatformDialect(),
            quarantine,
        )
        jobs = self.jobs
        edge = Edge(
            clock,
            self.routes,
            KeyAuthenticator(
                self.routes,
                Metrics(),
                lambda: self.age,
                make_bounds(3, 5, strict=True),
            ),
            RequestHandler(
                clock,
                Forwarder(clock, upstreams, runner, guard),
                StreamForwarder(clock, upstreams, runner, guard),
                Metrics(),
                lambda team, _: self.usage.append(team),
                make_admission(clock, self.routes, upstreams),
            ),
            JobHandler(
                clock,
                self.routes,
                jobs,  # type: ignore[arg-type]
                jobs,  # type: ignore[arg-type]
                Metrics(),
                encode_page,
            ),
            BodyReader(
                self.routes, lambda _: True, EntryMemory(Metrics(), clock)
            ),
        )
        self.server = HttpServer(
            '127.0.0.1:0', clock, edge.handle, ServerLimits
        )
        self.server.start()

    def put(self, teams: tuple[Team, ...]) -> None:
        """Put a configuration in force."""
        configuration = self.routes.configuration
        routes = (
            make_route('/p/'),
            make_route('/open/', open=True),
            make_route('/stream/', kind=RouteKind.STREAM, open=True),
            make_route('/jobs/', kind=RouteKind.JOB),
        )
        self.routes.apply(
            Configuration(
                version=1
                if configuration is None
                else configuration.version + 1,
                routes=routes,
                teams=teams,
            )
        )

    def _serve(self, sock: socket.socket, _: object) -> None:
        while data := sock.recv(65_536):
            self.seen.append(data)
            sock.sendall(_ANSWER)

    def send(
        self, path: str, *lines: str, method: str = 'POST', body: bytes = b''
    ) -> str:
        """Send a request; return the answer's head."""
        port = self.server._server.server_port
        sock = socket.create_connection(('127.0.0.1', port))
        head = [
            f'{method} {path} HTTP/1.1',
            'Host: a.example',
            'Guavagate-Request-Id: r-1',
            f'Content-Length: {len(body)}',
            *lines,
        ]
        sock.sendall(
            '\r\n'.join((*head, '', '')).encode('latin-1', 'replace') + body
        )
        with gevent.Timeout(3, TimeoutError):
            answer = sock.recv(65_536)
        sock.close()
        return answer.decode('latin-1')


@pytest.fixture
def bench() -> Iterator[_EdgeBench]:
    """Return an edge whose servers stop after the test."""
    running = _EdgeBench()
    yield running
    running.upstream.stop(0)
    running.server.drain(SystemClock().now())


def test_the_upstream_receives_the_team_and_never_the_key(
    bench: _EdgeBench,
) -> None:
    """The team replaces any that the caller sent in that header."""
    answer = bench.send(
        '/p/x', 'Authorization: Bearer key-1', 'guavagate-tenant: red'
    )
    assert answer.startswith('HTTP/1.1 200')
    sent = bench.seen[0].lower()
    assert b'guavagate-tenant: blue' in sent
    assert sent.count(b'guavagate-tenant') == 1
    assert b'key-1' not in sent
    assert bench.usage == [_BLUE]


def test_an_open_route_needs_no_key_and_forwards_none(
    bench: _EdgeBench,
) -> None:
    """The upstream receives neither a key nor a team."""
    assert ' 200 ' in bench.send('/open/x', 'Authorization: Bearer key-1')
    sent = bench.seen[0].lower()
    assert b'authorization' not in sent
    assert b'tenant' not in sent


def test_without_teams_credentials_are_forwarded(
    bench: _EdgeBench,
) -> None:
    """Without configured keys, credentials pass through unchanged."""
    bench.put(())
    assert ' 200 ' in bench.send('/p/x', 'Authorization: Basic abc')
    assert b'Basic abc' in bench.seen[0]


@pytest.mark.parametrize(
    'lines',
    [
        (),
        ('Authorization: Bearer other',),
        ('Authorization: Basic key-1',),
        ('Authorization: Bearer key-1', 'Authorization: Bearer other'),
    ],
)
def test_without_a_valid_key_nothing_runs(
    bench: _EdgeBench, lines: tuple[str, ...]
) -> None:
    """No request or job runs, and no job can be read."""
    for method, path in (
        ('POST', '/p/x'),
        ('POST', '/jobs/x'),
        ('GET', '/lots/j?after=0'),
        ('DELETE', '/lots/j'),
        ('GET', '/items/j?id=1'),
    ):
        answer = bench.send(path, *lines, method=method)
        assert answer.startswith('HTTP/1.1 401')
        assert 'WWW-Authenticate: Bearer' in answer
        assert 'key-1' not in answer
    assert not bench.seen
    assert not bench.jobs.teams


def test_a_revoked_key_is_denied(bench: _EdgeBench) -> None:
    """The team remains, with another key."""
    assert ' 200 ' in bench.send('/p/x', 'Authorization: Bearer key-1')
    bench.put((Team(id=_BLUE, key_hashes=(hash_token('key-2'),)),))
    assert ' 401 ' in bench.send('/p/x', 'Authorization: Bearer key-1')
    assert ' 200 ' in bench.send('/p/x', 'Authorization: Bearer key-2')


@pytest.mark.parametrize('age', [4.6, math.inf])
def test_without_proof_requests_are_refused_and_do_not_run(
    bench: _EdgeBench, age: float
) -> None:
    """An isolated or suspended instance refuses; another one may serve."""
    bench.age = age
    for path, method in (('/p/x', 'POST'), ('/lots/j', 'GET')):
        answer = bench.send(path, 'Authorization: Bearer key-1', method=method)
        assert answer.startswith('HTTP/1.1 503')
        assert 'Retry-After' in answer
    assert not bench.seen


def test_with_an_old_proof_nothing_is_denied_for_good(
    bench: _EdgeBench,
) -> None:
    """A newer configuration may contain the key or the route."""
    bench.age = 2.9
    for path, key in (('/p/x', 'new'), ('/nowhere/x', 'key-1')):
        answer = bench.send(path, f'Authorization: Bearer {key}')
        assert answer.startswith('HTTP/1.1 503')
    bench.age = 0
    answer = bench.send('/nowhere/x', 'Authorization: Bearer key-1')
    assert answer.startswith('HTTP/1.1 404')


def test_without_teams_a_missing_route_needs_no_proof(
    bench: _EdgeBench,
) -> None:
    """With 503 a caller with a wrong path would retry for ever."""
    bench.put(())
    for age in (0, 2.9, math.inf):
        bench.age = age
        assert ' 404 ' in bench.send('/nowhere/x')


def test_calls_for_jobs_carry_the_team_of_the_key(bench: _EdgeBench) -> None:
    """Jobs are accepted, read and ended under the key's team."""
    job = (
        b'{"items":[{"id":"i","path":"/jobs/1","body":"","group-id":"g"}],'
        b'"model":"m","target-groups":1}'
    )
    key = 'Authorization: Bearer key-1'
    assert ' 202 ' in bench.send('/jobs/x', key, body=job)
    assert ' 404 ' in bench.send('/lots/j', key, method='GET')
    assert ' 404 ' in bench.send('/items/j?id=1', key, method='GET')
    assert ' 404 ' in bench.send('/lots/j', key, method='DELETE')
    assert bench.jobs.teams == [_BLUE] * 4


_BAD_NUMBERS = ('\u00b2', '9' * 5_000, '-1', 'x', '1.5')


@pytest.mark.parametrize('number', _BAD_NUMBERS, ids=lambda text: text[:5])
@pytest.mark.parametrize(
    ('method', 'path', 'field'),
    [
        ('POST', '/open/x', 'Guavagate-Deadline-Ms'),
        ('POST', '/stream/x', 'Last-Event-Id'),
        ('GET', '/lots/1', 'Guavagate-Wait-Ms'),
        ('GET', '/lots/1', 'after'),
    ],
)
def test_a_bad_number_is_refused_by_name(
    bench: _EdgeBench, method: str, path: str, field: str, number: str
) -> None:
    """Callers got 502 for a request that never ran, or were not answered."""
    key = 'Authorization: Bearer key-1'
    if field == 'after':
        path = f'{path}?after={quote(number)}'
        answer = bench.send(path, key, method=method)
    else:
        answer = bench.send(path, key, f'{field}: {number}', method=method)
    assert answer.startswith('HTTP/1.1 400')
    assert f'{field} is ' in answer
    assert not bench.seen


def test_the_last_event_of_other_than_streams_is_not_read(
    bench: _EdgeBench,
) -> None:
    """Only streams are resumed; other routes may have a use of their own."""
    assert ' 200 ' in bench.send('/open/x', 'Last-Event-Id: x')
