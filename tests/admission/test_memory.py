"""The memory budget: who is refused, and that all of it comes back."""

import gevent
import pytest
from gevent import socket

from guavagate.admission import EntryMemory, MemoryBudget, RequestAccount
from guavagate.admission._memory import (
    LARGE_SHARE,
    REQUEST_BYTES,
    SMALL_BODY_BYTES,
)
from guavagate.clock import SystemClock
from guavagate.front import BodyReader
from guavagate.http1 import Exchange, ServerLimits
from guavagate.metrics import Metrics
from guavagate.ports.configuration import Configuration
from guavagate.routing import RouteTable

_BUDGET = 10_000_000
_LARGE = 3_000_000


def test_large_bodies_are_refused_while_small_ones_go_on() -> None:
    """Answers of admitted requests need room, and small requests little."""
    budget = MemoryBudget(_BUDGET)
    admitted = [RequestAccount(budget).admit_body(2_500_000) for _ in range(9)]
    assert admitted == [True, True, *([False] * 7)]
    assert budget.held <= _BUDGET * LARGE_SHARE + 9 * REQUEST_BYTES
    assert RequestAccount(budget).admit_body(SMALL_BODY_BYTES)
    assert RequestAccount(budget).admit_body(0)


def test_small_requests_go_on_up_to_a_hard_bound() -> None:
    """Large answers beside their bodies fill the budget, and exceed it.

    Nobody can refuse an answer, so small requests have some room beyond.
    """
    budget = MemoryBudget(_BUDGET)
    large = RequestAccount(budget)
    large.hold_answer(_BUDGET)
    assert RequestAccount(budget).admit_body(SMALL_BODY_BYTES)
    large.hold_answer(2 * _BUDGET)
    assert not RequestAccount(budget).admit_body(0)


def test_a_body_of_unknown_length_is_refused_as_it_grows() -> None:
    """A chunked body does not tell its size in advance."""
    account = RequestAccount(MemoryBudget(_BUDGET))
    size = 0
    while account.admit_body(size):
        size += 65_536
    assert 0.5 * _BUDGET < size < _BUDGET


class _Entry:
    """A server with a small budget; its handler holds each body."""

    def __init__(self) -> None:
        self.memory = EntryMemory(Metrics())
        self.memory.budget.limit = _BUDGET
        limits = ServerLimits(idle_timeout=0.2)
        routes = RouteTable()
        routes.apply(Configuration(version=1, limits=limits))
        self._bodies = BodyReader(routes, lambda _: True, self.memory)
        self._server = self._bodies.make_server(
            '127.0.0.1:0', SystemClock(), self._handle
        )
        self._server.start()

    def _handle(self, exchange: Exchange) -> None:
        exchange.id = 'r-1'
        body = self._bodies.read(exchange)
        if body is not None:
            exchange.respond(200, [], body * 4)

    def connect(self, declared: int, sent: int) -> socket.socket:
        """Send a head, and part of the body that it declares."""
        port = self._server._server.server_port
        sock = socket.create_connection(('127.0.0.1', port))
        sock.sendall(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
            % declared
        )
        sock.sendall(bytes(sent))
        return sock


def test_a_body_is_refused_before_it_is_read() -> None:
    """Its caller waits for the answer before it sends more."""
    entry = _Entry()
    sock = entry.connect(9_000_000, 0)
    with gevent.Timeout(1, TimeoutError):
        answer = sock.recv(65_536)
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'connection: close' in answer.lower()
    assert b'retry-after: ' in answer.lower()
    assert b'not run: ' in answer
    gevent.sleep(0.05)
    assert entry.memory.budget.held == 0


def test_what_slow_or_lost_callers_held_is_released(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """One stops sending, one leaves, one never reads its answer."""
    caplog.set_level('INFO')
    entry = _Entry()
    stalled = entry.connect(_LARGE, 100)
    entry.connect(_LARGE, 100).close()
    unread = entry.connect(2_000_000, 2_000_000)
    gevent.sleep(0.1)
    # The stalled body, and what nobody reads: a body and its answer.
    assert entry.memory.budget.held > _LARGE + 2_000_000 + 8_000_000
    gevent.sleep(0.6)
    assert entry.memory.budget.held == 0
    codes = [getattr(record, 'event', '') for record in caplog.records]
    assert codes.count('GG8051') == 1
    assert stalled.recv(1000).startswith(b'HTTP/1.1 408')
    unread.close()
