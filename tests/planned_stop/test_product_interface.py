"""A planned stop of an instance that serves the product's own interface."""

import json
from collections.abc import Iterator
from typing import Any, Final

import gevent
import pytest
from gevent import socket

from tests.test_instance import RunningInstance

_BODY: Final = json.dumps(
    {'model': 'coach-models', 'prompt': 'plan a week', 'max_tokens': 400}
).encode()
_HEAD: Final = (
    b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
    b'Authorization: Bearer caller-token\r\nContent-Length: %d\r\n\r\n'
)
_REQUEST: Final = b'%b%b' % (_HEAD % len(_BODY), _BODY)
_READINESS: Final = b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n'


@pytest.fixture(name='running')
def start_instance() -> Iterator[RunningInstance]:
    """Run one instance with its stand-ins."""
    instance = RunningInstance()
    with gevent.Timeout(30):
        yield instance
    instance.stop()


class _Caller:
    """A caller whose connection stays open."""

    def __init__(self, running: RunningInstance) -> None:
        port = running.instance.server.server_port
        self._sock = socket.create_connection(('127.0.0.1', port))

    def send(self, request: bytes = _REQUEST) -> None:
        """Send a request."""
        self._sock.sendall(request)

    def read(self) -> tuple[int, bytes, Any]:
        """Return the status, the head and the decoded body of an answer."""
        received = b''
        while b'\r\n\r\n' not in received:
            received += self._sock.recv(65_536)
        head, _, body = received.lower().partition(b'\r\n\r\n')
        length = int(head.partition(b'content-length: ')[2].split()[0])
        while len(body) < length:
            body += self._sock.recv(65_536)
        return int(head.split()[1]), head, json.loads(body or b'null')


def test_a_request_that_comes_late_is_refused(running: RunningInstance) -> None:
    """It was taken on an open connection, and cut when the stop ended.

    Another one that had begun before is completed.
    """
    early, late = _Caller(running), _Caller(running)
    early.send()
    gevent.sleep(0.1)
    finishing = gevent.spawn(running.instance.finish, 10)
    gevent.sleep(0.1)
    late.send()
    status, head, body = late.read()
    assert (status, body['error']['not_run']) == (503, 'true')
    assert body['error']['code'] == 'stopping'
    assert b'connection: close' in head
    assert b'retry-after: 1' in head
    assert early.read()[0] == 200
    finishing.join()


def test_operators_are_answered_to_the_end(running: RunningInstance) -> None:
    """They watch the stop by the instance's readiness."""
    running.instance.active.refusing = True
    caller = _Caller(running)
    caller.send(_READINESS)
    assert caller.read()[0] == 200
