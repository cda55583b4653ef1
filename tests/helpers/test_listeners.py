"""Callers that come while an instance starts."""

import pathlib
import socket

import gevent
import pytest

from guavagate.clock import SystemClock
from guavagate.helpers.listeners import listen_early, take_listener
from guavagate.http1 import Exchange, HttpServer
from guavagate.platform.const import SETTINGS_VARIABLE
from guavagate.platform.listen_addresses import read_listen_addresses


def _find_free() -> str:
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return f'127.0.0.1:{probe.getsockname()[1]}'


def test_a_caller_that_comes_during_a_start_is_served() -> None:
    """All instances were killed; a caller connects as one starts again.

    It is not refused: it waits until the program is loaded, and its request,
    which it has sent meanwhile, is answered.
    """
    address = _find_free()
    listen_early([address], backlog=8)
    host, _, port = address.rpartition(':')
    caller = gevent.socket.create_connection((host, int(port)), timeout=3)
    caller.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')

    def answer(exchange: Exchange) -> None:
        exchange.read_body(0)
        exchange.respond(200, [], b'served')

    server = HttpServer(address, SystemClock(), answer)
    server.start()
    try:
        received = b''
        while not received.endswith(b'served'):
            data = caller.recv(1000)
            assert data, received
            received += data
    finally:
        server.close()
        caller.close()


def test_an_address_that_is_taken_is_left_to_its_server() -> None:
    """The server's own error names the address; an early one would not."""
    with socket.create_server(('127.0.0.1', 0)) as other:
        taken = f'127.0.0.1:{other.getsockname()[1]}'
        listen_early([taken, 'no address'], backlog=8)
        assert take_listener(taken) is None
        assert take_listener('no address') is None


@pytest.mark.parametrize('text', ['', '[listen', 'listen = 7', '[listen]\nx=1'])
def test_unclear_settings_listen_nowhere(
    text: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are judged once the program is loaded, with an error that helps."""
    path = tmp_path / 'node.toml'
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert not read_listen_addresses()


def test_callers_and_the_balancer_are_listened_for(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A worker, which has neither, listens for nobody."""
    path = tmp_path / 'node.toml'
    path.write_text('[listen]\nfront = "127.0.0.1:1"\nready = "127.0.0.1:2"\n')
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert read_listen_addresses() == ['127.0.0.1:1', '127.0.0.1:2']
    path.write_text('[listen]\n')
    assert not read_listen_addresses()
