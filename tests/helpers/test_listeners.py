"""Tests of sockets that listen while an instance starts."""

import pathlib
import socket

import gevent
import pytest

from guavagate.clock import SystemClock
from guavagate.helpers.listeners import listen_early, take_listener
from guavagate.http1 import Exchange, HttpServer
from guavagate.platform.const import SETTINGS_VARIABLE
from guavagate.platform.listen_addresses import read_listen_addresses


def _find_free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return f'127.0.0.1:{probe.getsockname()[1]}'


def test_a_connection_during_a_start_is_served() -> None:
    """A start must not refuse callers while the program is loaded.

    After all instances were killed, a caller connects while one starts. Its
    connection waits until the server runs, which then answers its request.
    """
    address = _find_free_address()
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


def test_an_unavailable_address_is_skipped() -> None:
    """The server fails later, with an error that names the address."""
    with socket.create_server(('127.0.0.1', 0)) as other:
        taken = f'127.0.0.1:{other.getsockname()[1]}'
        listen_early([taken, 'no address'], backlog=8)
        assert take_listener(taken) is None
        assert take_listener('no address') is None


@pytest.mark.parametrize('text', ['', '[listen', 'listen = 7', '[listen]\nx=1'])
def test_invalid_settings_open_no_socket(
    text: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loaded program rejects them later, with a useful error."""
    path = tmp_path / 'node.toml'
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert not read_listen_addresses()


def test_sockets_open_for_callers_and_the_balancer(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An instance without these addresses opens no socket."""
    path = tmp_path / 'node.toml'
    path.write_text('[listen]\nfront = "127.0.0.1:1"\nready = "127.0.0.1:2"\n')
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert read_listen_addresses() == ['127.0.0.1:1', '127.0.0.1:2']
    path.write_text('[listen]\n')
    assert not read_listen_addresses()
