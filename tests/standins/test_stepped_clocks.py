"""Processes that are restarted while their time of day is stepped."""

import pathlib
import signal
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from standins.platform.addresses import AddressBlock
from standins.platform.fleet import Daemon, wait_for_exit
from standins.platform.manifest import make_manifest
from standins.platform.store import Store
from standins.platform.topology import pick_zone

_READY_SECONDS = 20
_ENTRIES = 3


def _is_ready(daemon: Daemon) -> bool:
    try:
        with socket.create_connection((daemon.ip, 8268), timeout=1) as sock:
            sock.sendall(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            return b' 200 ' in sock.recv(1000)
    except OSError:
        return False


def _wait_until_ready(daemons: list[Daemon]) -> None:
    with gevent.Timeout(_READY_SECONDS):
        while not all(map(_is_ready, daemons)):
            gevent.sleep(0.1)


@pytest.fixture
def daemons(tmp_path: pathlib.Path) -> Iterator[list[Daemon]]:
    """Start three entries before a store, and wait until they are ready."""
    block = AddressBlock(11)
    prefix = f'127.0.{block.number}'
    store = Store(f'{prefix}.250:8000', 1)
    store.start()
    store.write('config', 'main', make_manifest(1, 'm'))
    started = [
        Daemon(
            f'entry-{number}',
            f'{prefix}.{number + 1}',
            f'{prefix}.250:8000',
            tmp_path,
            zone=pick_zone(number),
        )
        for number in range(_ENTRIES)
    ]
    try:
        for daemon in started:
            daemon.start()
        _wait_until_ready(started)
        yield started
    finally:
        for daemon in started:
            daemon.kill()
        store.stop()
        block.release()


@pytest.mark.parametrize('offset', [-2, -3600])
def test_a_process_restarted_with_its_clock_back_works(
    daemons: list[Daemon], tmp_path: pathlib.Path, offset: float
) -> None:
    """It is killed twice within two seconds, and its clock is set back.

    It took itself for superseded by the process before it, for ever.
    """
    first = daemons[0]
    for seconds in (0, offset):
        first.step_clock(seconds)
        wait_for_exit(first.send_signal(signal.SIGKILL), 5)
        first.start()
        gevent.sleep(1.5)
    _wait_until_ready(daemons)
    gevent.sleep(3)
    assert _is_ready(first)
    assert 'GG3006' not in (tmp_path / 'entry-0.log').read_text()
