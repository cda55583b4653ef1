"""Callers' keys at the edge, over real sockets to a real upstream."""

import math
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from guavagate.auth import hash_token, make_bounds
from guavagate.clock import SystemClock
from guavagate.exceptions import StoreUnavailableError
from guavagate.forwarding import Attempts, Forwarder, StreamForwarder
from guavagate.front import JobHandler, KeyAuthenticator, RequestHandler
from guavagate.http1 import ConnectionPool, HttpServer, ServerLimits
from guavagate.jobs import Job, LookupStatus
from guavagate.metrics import Metrics
from guavagate.models import TeamId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._edge import Edge
from guavagate.platform._jobs import encode_page
from guavagate.ports.configuration import Configuration, RouteKind, Team
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
from tests.routing.test_routes import make_route

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_BLUE = TeamId('blue')
_TEAMS = (Team(id=_BLUE, key_hashes=(hash_token('key-1'),)),)


class _Jobs:
    """Stands for the job store and the reader; notes whose calls come."""

    def __init__(self) -> None:
        self.teams: list[TeamId] = []

    def accept(self, job: Job, limit: float) -> bool:
        """Note an accepted job's team."""
        self.teams.append(job.team)
        return True

    def cache_job(self, job: Job) -> None:
        """Keep nothing."""

    def read(self, *asked: object) -> tuple[LookupStatus, None]:
        """Note who reads; there is nothing."""
        self.teams.append(asked[-1])  # type: ignore[arg-type]
        return LookupStatus.MISSING, None

    def read_item(self, *asked: object) -> tuple[LookupStatus, bytes]:
        """Note who reads a body; there is none."""
        self.teams.append(asked[-1])  # type: ignore[arg-type]
        return LookupStatus.MISSING, b''

    def exists(self, *asked: object) -> LookupStatus:
        """Note who ends a job; there is none."""
        self.teams.append(asked[-1])  # type: ignore[arg-type]
        return LookupStatus.MISSING

    def end(self, *asked: object) -> None:
        """End nothing."""
        raise StoreUnavailableError('no store', 'nothing')


class _Setting:
    """An edge with one upstream that keeps what it is sent."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.age = float(0)
        self.seen: list[bytes] = []
        self.usage: list[TeamId] = []
        self.jobs = _Jobs()
        self.routes = RouteTable()
        self.put(_TEAMS)
        upstreams = UpstreamTable(clock, ZoneId('z'))
        self.upstream, upstream = start_upstream('u', 'z', self._serve)
        upstreams.put(upstream)
        attempts = Attempts(
            clock, ConnectionPool(clock), upstreams, PlatformDialect()
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
                Forwarder(clock, upstreams, attempts),
                StreamForwarder(clock, upstreams, attempts),
                Metrics(),
                lambda team, _: self.usage.append(team),
            ),
            JobHandler(
                clock,
                self.routes,
                jobs,  # type: ignore[arg-type]
                jobs,  # type: ignore[arg-type]
                Metrics(),
                encode_page,
            ),
            lambda _: True,
        )
        self.server = HttpServer(
            '127.0.0.1:0', clock, edge.handle, ServerLimits
        )
        self.server.start()

    def put(self, teams: tuple[Team, ...]) -> None:
        """Put a configuration in force."""
        held = self.routes.configuration
        routes = (
            make_route('/p/'),
            make_route('/open/', open=True),
            make_route('/jobs/', kind=RouteKind.JOB),
        )
        self.routes.apply(
            Configuration(
                version=1 if held is None else held.version + 1,
                routes=routes,
                teams=teams,
            )
        )

    def _serve(self, sock: socket.socket, _: object) -> None:
        while data := sock.recv(65_536):
            self.seen.append(data)
            sock.sendall(_ANSWER)

    def ask(
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
        sock.sendall('\r\n'.join((*head, '', '')).encode() + body)
        with gevent.Timeout(3, TimeoutError):
            answer = sock.recv(65_536)
        sock.close()
        return answer.decode('latin-1')


@pytest.fixture
def setting() -> Iterator[_Setting]:
    """Return one setting; its servers end with the test."""
    held = _Setting()
    yield held
    held.upstream.stop(0)
    held.server.finish(SystemClock().now())


def test_the_upstream_is_told_the_team_and_never_the_key(
    setting: _Setting,
) -> None:
    """Whatever the caller itself sent under that name."""
    told = setting.ask(
        '/p/x', 'Authorization: Bearer key-1', 'guavagate-tenant: red'
    )
    assert told.startswith('HTTP/1.1 200')
    sent = setting.seen[0].lower()
    assert b'guavagate-tenant: blue' in sent
    assert sent.count(b'guavagate-tenant') == 1
    assert b'key-1' not in sent
    assert setting.usage == [_BLUE]


def test_an_open_route_needs_no_key_and_passes_none_on(
    setting: _Setting,
) -> None:
    """Nor does it tell a team."""
    assert ' 200 ' in setting.ask('/open/x', 'Authorization: Bearer key-1')
    sent = setting.seen[0].lower()
    assert b'authorization' not in sent
    assert b'tenant' not in sent


def test_without_teams_credentials_are_the_upstreams(
    setting: _Setting,
) -> None:
    """A configuration that knows no keys changes nothing of them."""
    setting.put(())
    assert ' 200 ' in setting.ask('/p/x', 'Authorization: Basic abc')
    assert b'Basic abc' in setting.seen[0]


@pytest.mark.parametrize(
    'lines',
    [
        (),
        ('Authorization: Bearer other',),
        ('Authorization: Basic key-1',),
        ('Authorization: Bearer key-1', 'Authorization: Bearer other'),
    ],
)
def test_without_a_good_key_nothing_runs(
    setting: _Setting, lines: tuple[str, ...]
) -> None:
    """Neither a request nor a job, and no job is read."""
    for method, path in (
        ('POST', '/p/x'),
        ('POST', '/jobs/x'),
        ('GET', '/lots/j?after=0'),
        ('DELETE', '/lots/j'),
        ('GET', '/items/j?id=1'),
    ):
        told = setting.ask(path, *lines, method=method)
        assert told.startswith('HTTP/1.1 401')
        assert 'WWW-Authenticate: Bearer' in told
        assert 'key-1' not in told
    assert not setting.seen
    assert not setting.jobs.teams


def test_a_key_that_was_taken_away_is_denied(setting: _Setting) -> None:
    """The team is still there, with another key."""
    assert ' 200 ' in setting.ask('/p/x', 'Authorization: Bearer key-1')
    setting.put((Team(id=_BLUE, key_hashes=(hash_token('key-2'),)),))
    assert ' 401 ' in setting.ask('/p/x', 'Authorization: Bearer key-1')
    assert ' 200 ' in setting.ask('/p/x', 'Authorization: Bearer key-2')


@pytest.mark.parametrize('age', [4.6, math.inf])
def test_without_proof_nothing_runs_and_that_is_said(
    setting: _Setting, age: float
) -> None:
    """The instance is cut off, or was suspended; another one may serve."""
    setting.age = age
    for path, method in (('/p/x', 'POST'), ('/lots/j', 'GET')):
        told = setting.ask(path, 'Authorization: Bearer key-1', method=method)
        assert told.startswith('HTTP/1.1 503')
        assert 'Retry-After' in told
    assert not setting.seen


def test_with_old_news_nobody_is_denied(setting: _Setting) -> None:
    """The newest configuration may know the key, or the route."""
    setting.age = 2.9
    for path, key in (('/p/x', 'new'), ('/nowhere/x', 'key-1')):
        told = setting.ask(path, f'Authorization: Bearer {key}')
        assert told.startswith('HTTP/1.1 503')
    setting.age = 0
    told = setting.ask('/nowhere/x', 'Authorization: Bearer key-1')
    assert told.startswith('HTTP/1.1 404')


def test_without_teams_a_missing_route_is_told_whatever_the_proof(
    setting: _Setting,
) -> None:
    """A caller with a wrong path would else be told to come back for ever."""
    setting.put(())
    for age in (0, 2.9, math.inf):
        setting.age = age
        assert ' 404 ' in setting.ask('/nowhere/x')


def test_a_teams_calls_are_the_teams(setting: _Setting) -> None:
    """Its job is accepted as its own, and it asks for its own only."""
    job = (
        b'{"items":[{"id":"i","path":"/jobs/1","body":"","group-id":"g"}],'
        b'"model":"m","target-groups":1}'
    )
    key = 'Authorization: Bearer key-1'
    assert ' 202 ' in setting.ask('/jobs/x', key, body=job)
    assert ' 404 ' in setting.ask('/lots/j', key, method='GET')
    assert ' 404 ' in setting.ask('/items/j?id=1', key, method='GET')
    assert ' 404 ' in setting.ask('/lots/j', key, method='DELETE')
    assert setting.jobs.teams == [_BLUE] * 4
