"""Requests that come late in the grace of a planned stop, with real processes.

In a planned stop of one entry, in calm, requests that arrived late were passed
on, and the process ended with no answer to them. Their callers could not know
whether they had run, and some of them may not be repeated.
"""

import pathlib
import signal
import time
from typing import Final

import gevent
import pytest
from gevent import socket

from guavagate.http1 import Exchange
from guavagate.platform import const
from tests.crowds.crowd_bench import (
    ASK_PATH,
    ONCE_PATH,
    Bench,
    make_answer_headers,
    make_head,
)

# Of the grace of 8 s, requests are served for 7; from 2.6 s on the process
# takes no new connections.
_LATE_SECONDS: Final = 5.5
_WORK_SECONDS: Final = 3.0
_LIMIT_SECONDS: Final = 40
_SERVED: Final = 200
_NOT_RUN: Final = 503
_UNKNOWN: Final = 504


class _Upstream:
    """Works for as many seconds as a path says, and records its requests."""

    def __init__(self) -> None:
        self.ran: list[str] = []

    def answer(self, exchange: Exchange) -> None:
        """Answer one request."""
        exchange.read_body(1000)
        path = exchange.request.target
        self.ran.append(path)
        seconds = path.rpartition('-')[2]
        gevent.sleep(float(seconds) if seconds.isdigit() else 0)
        exchange.respond(_SERVED, make_answer_headers(exchange), b'whole')


class _Caller:
    """Sends a request in two parts, and reads the answer."""

    def __init__(self, bench: Bench, path: str, *, split_at: int) -> None:
        deadline = f'{const.DEADLINE.decode()}: 20000'
        request = make_head('POST', path, 'Content-Length: 4', deadline)
        self.path = path
        self._request = b'%bbody' % request
        self._split_at = split_at
        self._bench = bench
        self._sock = socket.socket()
        self.status = 0
        self.retry_after = False
        self.is_whole = False

    def begin(self) -> None:
        """Connect, and send the first part."""
        self._sock = self._bench.connect()
        self._sock.sendall(self._request[: self._split_at])

    def complete(self) -> None:
        """Send the rest, and read the answer to its end."""
        self._sock.sendall(self._request[self._split_at :])
        received = b''
        while data := self._sock.recv(65_536):
            received += data
        head, _, body = received.partition(b'\r\n\r\n')
        lines = head.lower().split(b'\r\n')
        self.status = int(head.split()[1]) if head else 0
        length = b'content-length: %d' % len(body)
        self.is_whole = length in lines and b'connection: close' in lines
        self.retry_after = any(
            each.startswith(b'retry-after:') for each in lines
        )


@pytest.fixture(name='upstream')
def make_upstream() -> _Upstream:
    """Return an upstream that records what it ran."""
    return _Upstream()


def test_each_request_is_answered_in_a_planned_stop(
    tmp_path: pathlib.Path, upstream: _Upstream
) -> None:
    """One that can't be answered in time is refused before it is passed on.

    The parts of a head or a body arrive late; a request that was passed on
    early enough is still at work when the grace ends, and its caller is told.
    """
    bench = Bench(tmp_path, upstream.answer)
    work = f'{_WORK_SECONDS:.0f}'
    late = [
        _Caller(bench, f'{prefix}{part}-{work}', split_at=split_at)
        for prefix in (ONCE_PATH, ASK_PATH)
        for part, split_at in (('head', 40), ('body', -2))
    ]
    early = [
        _Caller(bench, f'{prefix}early-{seconds}', split_at=-2)
        for prefix in (ONCE_PATH, ASK_PATH)
        for seconds in (1, 60)
    ]
    try:
        with gevent.Timeout(_LIMIT_SECONDS):
            _play(bench, early, late)
    finally:
        bench.stop()
    for caller in late:
        assert (caller.path, caller.status) == (caller.path, _NOT_RUN)
        assert caller.retry_after
        assert caller.path not in upstream.ran
    assert [each.status for each in early] == [_SERVED, _UNKNOWN] * 2
    assert all(each.is_whole for each in (*late, *early))


def _play(bench: Bench, early: list[_Caller], late: list[_Caller]) -> None:
    bench.start()
    for caller in (*early, *late):
        caller.begin()
    gevent.sleep(0.5)
    process = bench.entry.send_signal(signal.SIGTERM)
    assert process is not None
    stopped_at = time.monotonic()
    gevent.sleep(1)
    tasks = [gevent.spawn(each.complete) for each in early]
    gevent.sleep(stopped_at + _LATE_SECONDS - time.monotonic())
    tasks += [gevent.spawn(each.complete) for each in late]
    gevent.joinall(tasks)
