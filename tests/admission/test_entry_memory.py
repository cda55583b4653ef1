"""An entry within its memory limit, judged by what callers receive."""

import pathlib
import subprocess
import sys
from collections.abc import Iterator
from typing import Final

import gevent
import pytest
from gevent.pool import Group

from guavagate.clock import SystemClock
from guavagate.http1 import Answer, ConnectionPool, Request

_ROOT: Final = pathlib.Path(__file__).parents[2]
_LIMIT_MEGABYTES: Final = 200
_LARGE: Final = 32_000_000
_SMALL: Final = 2000


class _Entry:
    """An entry of 200 MB in a process of its own."""

    def __init__(self) -> None:
        module = 'tests.admission.entry_process'
        self.process = subprocess.Popen(
            [sys.executable, '-m', module, str(_LIMIT_MEGABYTES)],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.address = f'127.0.0.1:{int(self.process.stdout.readline())}'
        self._pool = ConnectionPool(SystemClock())

    def read_peak_megabytes(self) -> float:
        """Return the most memory that the process has held."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(x for x in status.splitlines() if x.startswith('VmHWM:'))
        return int(line.split()[1]) * 1024 / 1e6

    def send(self, size: int, pause: float = 0) -> tuple[Answer, int]:
        """Send a body; return the answer and the size of its body."""
        request = Request('POST', '/', [(b'Host', b'x')])
        answer = self._pool.send(self.address, request, bytes(size), timeout=20)
        received = 0
        for chunk in answer.chunks():
            received += len(chunk)
            gevent.sleep(pause)
        return answer, received


@pytest.fixture
def entry() -> Iterator[_Entry]:
    """Return an entry that ends with the test."""
    running = _Entry()
    yield running
    running.process.kill()
    running.process.wait()


def test_large_bodies_beside_small_requests(entry: _Entry) -> None:
    """Ten callers send 32 MB each, and another sends small requests.

    Without a budget the process holds all of it and is killed, and with it
    every request. Large bodies that are refused have not run, and each of them
    is served once its caller returns.
    """
    large = Group()
    refusals: set[str] = set()

    def send_large() -> None:
        answer, received = entry.send(_LARGE)
        while answer.status == 503:
            assert answer.get_header(b'connection') == 'close'
            wait = answer.get_header(b'retry-after')
            refusals.add(wait)
            gevent.sleep(float(wait))
            answer, received = entry.send(_LARGE)
        assert (answer.status, received) == (200, _LARGE)

    for _ in range(10):
        large.spawn(send_large)
    small = 0
    while large:
        assert entry.send(_SMALL)[0].status == 200
        small += 1
        gevent.sleep(0.02)
    large.join(raise_error=True)
    assert small > 5
    assert len(refusals) > 3
    assert entry.read_peak_megabytes() < _LIMIT_MEGABYTES


def test_answers_that_wait_for_slow_callers_count(entry: _Entry) -> None:
    """Slow callers hold answers of 15 MB; another large body is refused.

    The requests that were admitted get their whole answers all the same.
    """
    slow = [gevent.spawn(entry.send, 15_000_000, 0.005) for _ in range(4)]
    gevent.sleep(0.5)
    assert entry.send(_LARGE)[0].status == 503
    assert entry.send(_SMALL)[0].status == 200
    answers = [each.get(timeout=20) for each in slow]
    served = [size for answer, size in answers if answer.status == 200]
    assert len(served) >= 3
    assert set(served) == {15_000_000}
    assert entry.read_peak_megabytes() < _LIMIT_MEGABYTES
