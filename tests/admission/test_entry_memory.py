"""An entry within its memory limit, judged by what callers receive."""

import pathlib
import subprocess
import sys
from collections.abc import Iterator
from typing import Final

import gevent
import pytest
from gevent import socket
from gevent.pool import Group

_ROOT: Final = pathlib.Path(__file__).parents[2]
_LIMIT_MEGABYTES: Final = 200
_LARGE: Final = 32_000_000
_SMALL: Final = 2000


class _Entry:
    """An entry of 200 MB in a process of its own."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'tests.admission.entry_process',
                str(_LIMIT_MEGABYTES),
            ],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.port = int(self.process.stdout.readline())

    def read_peak_bytes(self) -> int:
        """Return the most memory that the process has held."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(x for x in status.splitlines() if x.startswith('VmHWM:'))
        return int(line.split()[1]) * 1024

    def send(
        self, size: int, *, chunked: bool = False, pause: float = 0
    ) -> tuple[int, bytes, bytes]:
        """Send a body; return status, head and body of the answer."""
        sock = socket.create_connection(('127.0.0.1', self.port))
        with sock, gevent.Timeout(20, TimeoutError):
            writer = gevent.spawn(_send_body, sock, size, chunked)
            answer = bytearray()
            while data := sock.recv(1_000_000):
                answer += data
                if _is_complete(answer):
                    break
                gevent.sleep(pause)
            writer.kill()
        head, _, body = bytes(answer).partition(b'\r\n\r\n')
        return int(head.split()[1]), head.lower(), body


def _send_body(sock: socket.socket, size: int, chunked: bool) -> None:
    head = b'POST / HTTP/1.1\r\nHost: x\r\n'
    try:
        if not chunked:
            sock.sendall(b'%sContent-Length: %d\r\n\r\n' % (head, size))
            sock.sendall(bytes(size))
            return
        sock.sendall(b'%sTransfer-Encoding: chunked\r\n\r\n' % head)
        part = bytes(100_000)
        for _ in range(size // len(part)):
            sock.sendall(b'%x\r\n%s\r\n' % (len(part), part))
            gevent.sleep(0)
        sock.sendall(b'0\r\n\r\n')
    except OSError:
        # The entry has closed the connection after its refusal.
        return


def _is_complete(answer: bytearray) -> bool:
    head_size = answer.find(b'\r\n\r\n') + 4
    if head_size < 4:
        return False
    head = bytes(answer[:head_size]).lower()
    length = head.partition(b'content-length: ')[2].split()[0]
    return len(answer) >= head_size + int(length)


@pytest.fixture
def entry() -> Iterator[_Entry]:
    """Return an entry that ends with the test."""
    running = _Entry()
    yield running
    running.process.kill()
    running.process.wait()


@pytest.mark.parametrize('chunked', [False, True])
def test_large_bodies_beside_small_requests(
    entry: _Entry, *, chunked: bool
) -> None:
    """Ten callers send 32 MB each, and another sends small requests.

    Without a budget the process holds all of it and is killed, and with it
    every request. Large bodies that are refused have not run, and each of them
    is served once its caller returns.
    """
    large = Group()
    refusals: list[bytes] = []

    def send_large() -> None:
        while True:
            status, head, body = entry.send(_LARGE, chunked=chunked)
            if status == 200:
                assert len(body) == _LARGE
                return
            assert status == 503
            assert b'connection: close' in head
            assert body.startswith(b'not run')
            wait = head.partition(b'retry-after: ')[2].split()[0]
            refusals.append(wait)
            gevent.sleep(float(wait))

    for _ in range(10):
        large.spawn(send_large)
    small = 0
    while large and entry.process.poll() is None:
        assert entry.send(_SMALL)[0] == 200
        small += 1
        gevent.sleep(0.02)
    large.join(raise_error=True)
    assert small > 5
    assert len(set(refusals)) > 3
    assert entry.read_peak_bytes() < _LIMIT_MEGABYTES * 1_000_000


def test_answers_that_wait_for_slow_callers_count(entry: _Entry) -> None:
    """Slow callers hold answers of 15 MB; another large body is refused.

    The requests that were admitted get their whole answers all the same.
    """
    slow = [gevent.spawn(entry.send, 15_000_000, pause=0.05) for _ in range(4)]
    gevent.sleep(0.5)
    assert entry.send(_LARGE)[0] == 503
    assert entry.send(_SMALL)[0] == 200
    answers = [each.get(timeout=20) for each in slow]
    served = [len(body) for status, _, body in answers if status == 200]
    assert len(served) >= 3
    assert set(served) == {15_000_000}
    assert entry.read_peak_bytes() < _LIMIT_MEGABYTES * 1_000_000
