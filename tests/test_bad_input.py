"""Invalid input at the edge is refused and does not reach an upstream."""

import json
from collections.abc import Iterator
from typing import Any, Final

import falcon
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from guavagate.web import make_server
from guavagate.web._bodies import MAX_BODY
from tests.test_instance import RunningInstance

_COMPLETIONS: Final = '/v1/completions'
_VERSIONS: Final = '/v1/runs/plan-batches/versions'
_ASK: Final = {'model': 'coach-models', 'prompt': 'x', 'max_tokens': 2}
_HEAD: Final = (
    b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
    b'Authorization: Bearer caller-token\r\n'
)
_EDGE = settings(derandomize=True, max_examples=40, deadline=None)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


class _RequestRecorder:
    """Middleware of the stand-ins that records what the upstreams ran."""

    def __init__(self) -> None:
        self.ran: list[str] = []

    def process_request(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Record a request unless it only reads load or sends orders."""
        if req.path not in {'/report', '/cache/events', '/orders'}:
            self.ran.append(req.path)


class _Edge(RunningInstance):
    """One instance whose upstreams record their requests."""

    def __init__(self) -> None:
        super().__init__()
        self.noted = _RequestRecorder()
        for server in (*self.engines, self.desk):
            server._server.application.add_middleware(self.noted)

    def check(self, status: int, data: bytes, expected: set[int]) -> str:
        """Check a refusal and that nothing ran; return its code."""
        error = json.loads(data)['error']
        assert status in expected, error
        assert error['not_run'] == 'true'
        assert '; ' in error['message']
        assert not self.noted.ran
        return str(error['code'])

    def send(self, data: bytes) -> tuple[int, bytes]:
        """Send bytes, shut down the sending side and read to the end."""
        return _send(self.instance.server.server_port, data)


def _send(port: int, data: bytes, *, close: bool = True) -> tuple[int, bytes]:
    with socket.create_connection(('127.0.0.1', port), timeout=3) as sock:
        sock.sendall(data)
        if close:
            sock.shutdown(socket.SHUT_WR)
        answer = b''.join(iter(lambda: sock.recv(65536), b''))
    head, _, body = answer.partition(b'\r\n\r\n')
    return int(head.split()[1]), body


@pytest.fixture(name='shared', scope='module')
def start_edge() -> Iterator[_Edge]:
    """Start the instance that all tests share."""
    running = _Edge()
    yield running
    running.stop()


@pytest.fixture(name='edge')
def clear_edge(shared: _Edge) -> _Edge:
    """Clear what earlier tests recorded."""
    shared.noted.ran.clear()
    return shared


def test_a_valid_request_runs(edge: _Edge) -> None:
    """Without this, the checks that nothing ran might never fail."""
    edge.ask_json(_COMPLETIONS, _ASK)
    assert edge.noted.ran == [_COMPLETIONS]


@_EDGE
@given(body=st.binary(max_size=60) | _JSON.map(json.dumps).map(str.encode))
def test_no_odd_body_runs(shared: _Edge, body: bytes) -> None:
    """Neither bytes nor JSON of any other shape get past the edge."""
    shared.noted.ran.clear()
    status, data, _ = shared.ask(_COMPLETIONS, body)
    shared.check(status, data, {400, 422})


@_EDGE
@given(
    field=st.sampled_from(('prompt', 'max_tokens', 'temperature', 'stop')),
    value=st.dictionaries(st.text(), _JSON) | st.just(True),
)
def test_no_field_of_a_wrong_type_runs(
    shared: _Edge, field: str, value: Any
) -> None:
    """The refusal is for the field's type, whatever stands there."""
    shared.noted.ran.clear()
    body = _dump({**_ASK, field: value})
    status, data, _ = shared.ask(_COMPLETIONS, body)
    shared.check(status, data, {400, 422})


def _dump(value: Any) -> bytes:
    return json.dumps(value).encode()


@pytest.mark.parametrize(
    ('tail', 'status', 'code'),
    [
        (b'Content-Length: 500\r\n\r\n{}', 400, 'body_cut_short'),
        (
            b'Transfer-Encoding: chunked\r\n\r\n5\r\n{}',
            400,
            'body_cut_short',
        ),
        (
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\n{}',
            400,
            'body_cut_short',
        ),
        (
            b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
            400,
            'malformed_request',
        ),
        (b'Content-Length: +2\r\n\r\n{}', 400, 'malformed_request'),
        (b'Content-Length: abc\r\n\r\n{}', 400, 'malformed_request'),
        (
            b'Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}',
            400,
            'malformed_request',
        ),
        (
            b'Content-Length: %d\r\n\r\n' % (MAX_BODY + 1),
            413,
            'body_too_large',
        ),
        (
            b'X-Guavagate-Deadline-Ms: %b\r\n\r\n' % (b'9' * 400),
            400,
            'bad_deadline',
        ),
    ],
)
def test_an_incomplete_request_does_not_run(
    edge: _Edge, tail: bytes, status: int, code: str
) -> None:
    """A body that is cut short or has an ambiguous length is refused.

    The caller dies while it sends, or two servers would disagree where the body
    ends. The received part may parse, but running it would run a request that
    was never sent. The rest must not be parsed as the next request either:
    there is one answer, then the connection is closed.
    """
    status_code, data = edge.send(_HEAD + tail)
    assert edge.check(status_code, data, {status}) == code


def test_a_chunked_body_over_the_limit_is_refused(edge: _Edge) -> None:
    """Without a Content-Length, the limit applies to the received bytes."""
    size = MAX_BODY + 1
    chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (size, b' ' * size)
    status_code, data = edge.send(
        b'%bTransfer-Encoding: chunked\r\n\r\n%b' % (_HEAD, chunk)
    )
    assert edge.check(status_code, data, {413}) == 'body_too_large'


@pytest.mark.parametrize(
    ('path', 'body', 'token', 'headers', 'code'),
    [
        (_COMPLETIONS, _ASK, 'wrong', {}, 'unauthorized'),
        (_COMPLETIONS, _ASK, 'é' * 9, {}, 'unauthorized'),
        (_COMPLETIONS, {**_ASK, 'model': 'x'}, '', {}, 'unknown_deployment'),
        (_COMPLETIONS, {**_ASK, 'seed': 2**64}, '', {}, 'invalid_body'),
        (_COMPLETIONS, b'[' * 99_999, '', {}, 'invalid_body'),
        ('/v1/services/other/x', b'', '', {}, 'unknown_service'),
        (_VERSIONS, {'version': 1}, '', {}, 'forbidden'),
        (_VERSIONS, {'version': 2**70}, 'trainer-token', {}, 'invalid_body'),
        (
            '/v1/runs/%ff%00/versions',
            {'version': 1},
            'trainer-token',
            {},
            'unknown_run',
        ),
        (
            _COMPLETIONS,
            _ASK,
            '',
            {'X-Guavagate-Deadline-Ms': '0'},
            'bad_deadline',
        ),
        (_COMPLETIONS, _ASK, '', {'Idempotency-Key': 'k' * 256}, 'bad_key'),
        ('/nothing', b'', '', {}, 'bad_request'),
    ],
)
def test_each_refusal_names_its_reason(
    edge: _Edge,
    path: str,
    body: Any,
    token: str,
    headers: dict[str, str],
    code: str,
) -> None:
    """Missing permissions and unknown names have their own error codes."""
    status, data, _ = edge.ask(path, body, token or 'caller-token', **headers)
    assert edge.check(status, data, set(range(400, 500))) == code


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'BREW'])
def test_an_unsupported_method_does_not_run(edge: _Edge, method: str) -> None:
    """Completions accept POST only."""
    status, data, _ = edge.ask(_COMPLETIONS, _ASK, method=method)
    assert edge.check(status, data, {400, 405}) == 'bad_request'


def test_a_key_used_again_with_another_body_runs_once(edge: _Edge) -> None:
    """The first request runs; the second is refused: it is not a retry."""
    path = '/v1/services/booking-desk/book'
    headers = {'Idempotency-Key': 'k', 'X-Guavagate-First-Attempt': 'true'}
    assert edge.ask(path, b'one', **headers)[0] == 200
    assert edge.noted.ran == ['/book']
    edge.noted.ran.clear()
    status, data, _ = edge.ask(path, b'two', **headers)
    assert edge.check(status, data, {422}) == 'key_reused'


def test_a_decoded_path_cannot_break_the_upstream_request(
    edge: _Edge,
) -> None:
    """A line break in a path stays part of the path.

    The server decodes the path. Forwarded in that form, the bytes after the
    line break would be headers, or a second request without any checks.
    """
    path = '/v1/services/booking-desk/a%20b%0d%0aX-Evil:%20y%3Fc'
    status, _, _ = edge.ask(path, b'', method='GET')
    assert status == 200
    assert edge.noted.ran == ['/a b\r\nX-Evil: y?c']


def test_slow_headers_close_the_connection() -> None:
    """A caller that stops within its headers gets 408 and is disconnected.

    It would otherwise occupy a task and a socket indefinitely.
    """
    server = make_server(falcon.App(), '127.0.0.1:0', header_timeout=0.05)
    server.start()
    status_code, data = _send(server.server_port, _HEAD, close=False)
    server.stop(timeout=0)
    error = json.loads(data)['error']
    assert (status_code, error['code']) == (408, 'headers_too_slow')
    assert error['not_run'] == 'true'
