"""Callers that read slowly or not at all, and those that are still sending."""

from typing import Final

import gevent
import pytest
from gevent import socket

from guavagate.clock import SystemClock
from guavagate.http1 import Exchange, ServerLimits, SlowCallerError
from guavagate.http1 import _sockets as sockets
from tests.http1.server_bench import ServerBench

_LARGE: Final = 12_000_000
_HEAD: Final = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class _Caller:
    """A caller with a small receive buffer, of a server under test."""

    def __init__(self, idle: float = 0.4, buffer: int = 32_768) -> None:
        self.ends: list[str] = []
        self.seconds = float(60)
        self.bench = ServerBench(self._respond, ServerLimits(idle_timeout=idle))
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        # As on a real network; segments on the loopback are far longer.
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
        self.sock.connect(self.bench.address)
        self.sock.sendall(_HEAD)

    def _respond(self, exchange: Exchange) -> None:
        exchange.id = 'r-1'
        exchange.deadline = exchange.arrived_at + self.seconds
        try:
            exchange.respond(200, [], bytes(_LARGE))
        except SlowCallerError:
            self.ends.append('slow')
            raise
        self.ends.append('complete')

    def read(self, limit: int, pause: float = 0) -> int:
        """Read at most so many bytes; return how many there were."""
        size = 0
        while size < limit:
            most = 1000 if pause else 65_536
            data = self.sock.recv(min(most, limit - size))
            if not data:
                break
            size += len(data)
            gevent.sleep(pause)
        return size


def test_a_caller_that_takes_nothing_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It would hold its answer, a connection and a task without an end."""
    caller = _Caller()
    memory = caller.bench.server._memory
    monkeypatch.setattr(memory, 'record_slow_caller', caller.ends.append)
    caller.read(1000)
    gevent.sleep(0.8)
    assert caller.ends == ['slow', 'r-1']
    assert caller.bench.server.active == 0


def test_a_caller_that_reads_slowly_gets_its_whole_answer() -> None:
    """It takes three times the idle time, with progress all the while.

    The kernel accepts more data only once a large part of its send buffer is
    free, which takes longer than the idle time here.
    """
    caller = _Caller(idle=0.3, buffer=4096)
    slow = caller.read(50_000, pause=0.02)
    assert caller.ends == []
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_000_000)
    assert slow + caller.read(2 * _LARGE) > _LARGE
    gevent.sleep(0.05)
    assert caller.ends == ['complete']


def test_the_kernel_does_not_cut_off_a_caller_before_its_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel ends connections that accept nothing for some seconds.

    That limit is shorter than the idle time, which callers are allowed.
    """
    monkeypatch.setattr(sockets, 'UNACKNOWLEDGED_MILLIS', 200)
    caller = _Caller(idle=1.5)
    caller.read(1000)
    gevent.sleep(0.7)
    assert caller.read(_LARGE - 1000) == _LARGE - 1000


def test_a_lost_caller_is_still_noticed_soon_while_its_request_runs() -> None:
    """Only an answer under way has the longer limit of the kernel.

    The limit also decides how long a caller may leave probes unanswered.
    """
    limits: list[int] = []

    def note(exchange: Exchange) -> None:
        sock = exchange._connection._sock
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        limits.append(sock.getsockopt(*option))
        exchange.respond(200, [], b'')
        limits.append(sock.getsockopt(*option))

    bench = ServerBench(note, ServerLimits(idle_timeout=9))
    for _ in range(2):
        bench.send(_HEAD)
    assert limits == [3000, 9000, 3000, 9000]


def test_a_stop_waits_for_a_caller_that_pauses_in_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was cut off after a pause that its deadline allows."""
    monkeypatch.setattr('guavagate.http1._server.STOP_STALL_SECONDS', 0.2)
    caller = _Caller(idle=10)
    caller.read(1000)
    clock = SystemClock()
    draining = gevent.spawn(caller.bench.server.drain, clock.now() + 10)
    gevent.sleep(0.8)
    assert not draining.ready()
    assert caller.read(2 * _LARGE) > _LARGE - 1000
    assert draining.get(timeout=3) == 0
    assert caller.ends == ['complete']


def test_a_stop_names_the_requests_that_it_cuts(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Whoever looks for a lost answer must find where it went."""
    caller = _Caller(idle=10)
    caller.read(1000)
    with caplog.at_level('WARNING'):
        assert caller.bench.server.drain(SystemClock().now() + 0.3) == 1
    assert any('GG5017' in each.getMessage() for each in caplog.records)


def test_a_stop_waits_for_callers_that_make_progress_or_have_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One caller reads on during the stop; another takes nothing.

    The stalled one, whose deadline has passed, would use up the time that other
    callers need to move.
    """
    monkeypatch.setattr('guavagate.http1._server.STOP_STALL_SECONDS', 0.3)
    caller = _Caller(idle=10)
    caller.seconds = 0.2
    stalled = socket.create_connection(caller.bench.address)
    stalled.sendall(_HEAD)
    gevent.sleep(0.1)
    clock = SystemClock()
    started_at = clock.now()
    draining = gevent.spawn(caller.bench.server.drain, started_at + 5)
    assert caller.read(2 * _LARGE) > _LARGE
    assert draining.get(timeout=3) == 1
    assert clock.now() - started_at < 2
    assert caller.ends == ['complete']


def test_a_caller_that_is_still_sending_can_read_its_refusal() -> None:
    """Closing a socket with unread data discards the answer on its way."""

    def refuse(exchange: Exchange) -> None:
        exchange.respond(503, [], b'not now')

    bench = ServerBench(refuse)
    size = 3_000_000
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n' % size
    for _ in range(5):
        sock = socket.create_connection(bench.address)
        sock.sendall(head)
        gevent.sleep(0.02)
        sock.sendall(bytes(size))
        gevent.sleep(0.02)
        answer = sock.recv(65_536)
        assert b' 503 ' in answer
        assert b'connection: close' in answer.lower()
        assert answer.endswith(b'not now')
        assert sock.recv(10) == b''
