"""The memory budget: who is refused, and that all of it comes back."""

import gevent
import pytest
from gevent import socket

from guavagate.admission import (
    ConnectionAccount,
    ConnectionLedger,
    EntryMemory,
    MemoryBudget,
)
from guavagate.admission._memory import (
    CONNECTION_BYTES,
    LARGE_SHARE,
    REQUEST_BYTES,
    SMALL_BODY_BYTES,
)
from guavagate.clock import SystemClock
from guavagate.front import BodyReader
from guavagate.http1 import Exchange, Phase, ServerLimits
from guavagate.metrics import Metrics
from guavagate.ports.configuration import Configuration
from guavagate.routing import RouteTable

_BUDGET = 10_000_000
_LARGE = 3_000_000
# Of a connection with a request, beside its body and answer.
_ONE = CONNECTION_BYTES + REQUEST_BYTES


def _open(budget: MemoryBudget) -> ConnectionAccount:
    """Return the account of a connection whose request is running."""
    account = ConnectionLedger(SystemClock(), budget).open()
    assert account is not None
    account.enter(Phase.RUNNING)
    return account


def test_large_bodies_are_refused_while_small_ones_go_on() -> None:
    """Answers of admitted requests need room, and small requests little."""
    budget = MemoryBudget(_BUDGET)
    admitted = [_open(budget).admit_body(2_500_000) for _ in range(9)]
    assert admitted == [True, True, *([False] * 7)]
    assert budget.held <= _BUDGET * LARGE_SHARE + 9 * _ONE
    assert _open(budget).admit_body(SMALL_BODY_BYTES)
    assert _open(budget).admit_body(0)


def test_small_requests_go_on_up_to_a_hard_bound() -> None:
    """Large answers beside their bodies fill the budget, and exceed it.

    Nobody can refuse an answer, so small requests have some room beyond.
    """
    budget = MemoryBudget(_BUDGET)
    large = _open(budget)
    large.hold_answer(_BUDGET)
    assert _open(budget).admit_body(SMALL_BODY_BYTES)
    large.hold_answer(2 * _BUDGET)
    assert ConnectionLedger(SystemClock(), budget).open() is None


def test_a_body_of_unknown_length_is_refused_as_it_grows() -> None:
    """A chunked body does not tell its size in advance."""
    account = _open(MemoryBudget(_BUDGET))
    size = 0
    while account.admit_body(size):
        size += 65_536
    assert 0.5 * _BUDGET < size < _BUDGET


class _Entry:
    """A server with a small budget; its handler holds each body."""

    def __init__(self, budget: int = _BUDGET) -> None:
        self.memory = EntryMemory(Metrics(), SystemClock())
        self.memory.budget.limit = budget
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
    sock = entry.connect(9_500_000, 0)
    with gevent.Timeout(1, TimeoutError):
        answer = sock.recv(65_536)
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'connection: close' in answer.lower()
    assert b'retry-after: ' in answer.lower()
    assert b'not run: ' in answer
    gevent.sleep(0.05)
    # The server still waits for the caller to close.
    assert entry.memory.budget.held == _ONE
    sock.close()
    gevent.sleep(0.05)
    assert entry.memory.budget.held == 0


def test_what_slow_or_lost_callers_held_is_released(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """One stops sending, one leaves, one never reads its answer."""
    caplog.set_level('INFO')
    entry = _Entry(2 * _BUDGET)
    stalled = entry.connect(_LARGE, 100)
    entry.connect(_LARGE, 100).close()
    unread = entry.connect(2_000_000, 2_000_000)
    gevent.sleep(0.1)
    # The stalled body, and what nobody reads: a body and its answer.
    assert entry.memory.budget.held > _LARGE + 2_000_000 + 8_000_000
    gevent.sleep(0.6)
    # The stalled caller got its answer, and may still be sending.
    assert entry.memory.budget.held == _ONE
    codes = [getattr(record, 'event', '') for record in caplog.records]
    assert codes.count('GG8051') == 1
    assert stalled.recv(1000).startswith(b'HTTP/1.1 408')
    unread.close()
    stalled.close()
    gevent.sleep(0.05)
    assert entry.memory.budget.held == 0


def test_a_connection_that_can_not_be_served_is_counted_no_longer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each one would take a descriptor and some memory for good."""

    def fail(_: object) -> None:
        raise OSError

    monkeypatch.setattr('guavagate.http1._server.set_caller_options', fail)
    entry = _Entry()
    sock = entry.connect(0, 0)
    gevent.sleep(0.05)
    connections = entry.memory.connections
    assert (entry.memory.budget.held, connections.descriptors) == (0, 0)
    sock.close()
