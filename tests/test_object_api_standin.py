"""Tests that the object API's stand-in has the platform's faults."""

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from guavagate.exceptions import UpstreamError
from standins import object_api
from standins._http import Response, send_request
from standins._web import Server, serve


@pytest.fixture
def server() -> Iterator[Server]:
    """Start an object API that retains three changes."""
    options = object_api.ObjectApiOptions(kept_changes=3)
    running = serve(object_api.make_app(options))
    yield running
    running.stop()


def _put(server: Server, value: bytes, expected: int | None = None) -> Response:
    """Write the object ``a/b``."""
    headers = {}
    if expected is not None:
        headers['X-Expected-Version'] = str(expected)
    path = '/v1/objects/a/b'
    return send_request(server.address, 'PUT', path, value, headers=headers)


def _get(server: Server, path: str) -> Response:
    """Read a path."""
    return send_request(server.address, 'GET', path)


def _set_faults(server: Server, **faults: Any) -> None:
    """Set the faults."""
    send_request(server.address, 'POST', '/control/faults', faults)


def test_a_lost_answer_may_hide_a_successful_write(server: Server) -> None:
    """The writer gets no answer, but the object has been written.

    A conditional retry conflicts with the first attempt. Only reading the
    object back shows which write succeeded.
    """
    _set_faults(server, lose_answers=1)
    with pytest.raises(UpstreamError):
        _put(server, b'mine', expected=0)
    _set_faults(server)
    assert _put(server, b'mine', expected=0).status == 409
    assert _get(server, '/v1/objects/a/b').body == b'mine'


def test_stale_reads_answer_from_a_snapshot(server: Server) -> None:
    """Reads show the state at the start of the fault; writes succeed."""
    _put(server, b'old')
    _set_faults(server, stale_reads=True)
    assert _put(server, b'new').status == 200
    assert _get(server, '/v1/objects/a/b').body == b'old'
    _set_faults(server)
    assert _get(server, '/v1/objects/a/b').body == b'new'


def test_a_watch_returns_changes_and_reports_compaction(
    server: Server,
) -> None:
    """A waiting watch gets the change; one from an old revision gets 410."""
    path = '/v1/watch?prefix=a/&since=0&timeout=5'
    watch = gevent.spawn(_get, server, path)
    gevent.sleep(0)
    _put(server, b'1')
    assert watch.get(timeout=5).decode()['changes'][0]['path'] == 'a/b'
    for number in range(4):
        _put(server, str(number).encode())
    assert watch.get().status == 200
    assert _get(server, path).status == 410


def test_the_rate_limit_and_an_outage_reject_calls(server: Server) -> None:
    """Calls above the limit get 429, calls in an outage 503."""
    limited = serve(object_api.make_app(object_api.ObjectApiOptions(writes=2)))
    codes = [_put(limited, b'x').status for _ in range(4)]
    limited.stop()
    assert codes == [200, 200, 429, 429]
    _set_faults(server, outage=True)
    assert _get(server, '/v1/objects/a/b').status == 503


def test_the_instance_list_lags_hides_and_invents_entries(
    server: Server,
) -> None:
    """The list is out of date, lacks instances and has unknown ones."""
    entry = {'availability_zone': 'z', 'http_address': '127.0.0.1:1'}
    for name in ('one', 'two'):
        send_request(server.address, 'PUT', f'/v1/instances/{name}', entry)
    _set_faults(server, hide=['one'], ghosts=[{'id': 'ghost'}])
    shown = _get(server, '/v1/instances').decode()['instances']
    assert [one['id'] for one in shown] == ['two', 'ghost']
    _set_faults(server, list_lag_s=60)
    assert _get(server, '/v1/instances').decode()['instances'] == []
