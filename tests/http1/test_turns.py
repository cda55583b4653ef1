"""Callers whose bytes are expensive, beside an ordinary one."""

import gevent
from gevent import socket

from guavagate.clock import SystemClock
from guavagate.http1 import Exchange
from guavagate.http1._turns import READS_PER_TURN, TurnCounter, Turns
from tests.http1.server_bench import ServerBench

_HEAD = b'POST /%b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'


def test_small_chunks_do_not_keep_an_ordinary_request_waiting() -> None:
    """Each batch of chunks that was read was parsed without a pause.

    Twenty callers send chunks of a byte. An ordinary request that arrives last
    is served before the first of them is through.
    """
    served: list[str] = []

    def handle(exchange: Exchange) -> None:
        exchange.read_body(1_000_000)
        served.append(exchange.request.target)
        exchange.respond(200, [], b'')

    bench = ServerBench(handle)
    chunks = b'1\r\nx\r\n' * 20_000
    request = b'%b%b0\r\n\r\n' % (_HEAD % b'small', chunks)
    crowd = [socket.create_connection(bench.address) for _ in range(20)]
    sending = [gevent.spawn(sock.sendall, request) for sock in crowd]
    gevent.sleep(0.01)
    with gevent.Timeout(60):
        bench.sock.sendall(b'GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n')
        assert bench.sock.recv(1000).startswith(b'HTTP/1.1 200')
        assert served == ['/ordinary']
        gevent.joinall(sending, raise_error=True)
        while len(served) < len(crowd) + 1:
            gevent.sleep(0.05)
    for sock in crowd:
        sock.close()


def test_one_turn_is_given_in_each_iteration_in_order() -> None:
    """Ten tasks that work without a pause would otherwise take ten slices."""
    turns = Turns(SystemClock())
    worked: list[int] = []
    iterations = 0

    def work(number: int) -> None:
        counter = TurnCounter(turns, 1)
        for _ in range(3):
            counter.count()
            worked.append(number)

    def count_iterations() -> None:
        nonlocal iterations
        while True:
            iterations += 1
            gevent.sleep(0)

    watching = gevent.spawn(count_iterations)
    gevent.joinall([gevent.spawn(work, number) for number in range(4)])
    watching.kill()
    assert worked == [0, 1, 2, 3] * 3
    assert iterations >= len(worked)


def test_a_task_that_is_ended_gives_up_its_turn() -> None:
    """Its connection was reset; all others would wait for ever."""
    turns = Turns(SystemClock())
    first, second, third = (gevent.spawn(turns.wait) for _ in range(3))
    gevent.sleep(0)
    second.kill()
    gevent.joinall([first, third], timeout=2, raise_error=True)
    assert third.successful()
    gevent.spawn(turns.wait).get(timeout=2)


def test_many_small_requests_on_a_connection_take_no_turns() -> None:
    """An ordinary caller that keeps its connection stood behind the crowd."""
    served: list[str] = []

    def handle(exchange: Exchange) -> None:
        exchange.read_body(0)
        served.append(exchange.request.target)
        exchange.respond(200, [], b'')

    bench = ServerBench(handle)
    bench.server._turns._is_taken = True
    with gevent.Timeout(10):
        for _ in range(3 * READS_PER_TURN):
            assert b' 200 ' in bench.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert len(served) == 3 * READS_PER_TURN
