"""Measures what a bus request costs both sides, over loopback."""

import socket
import time
from typing import Final

from guavagate.clock import SystemClock
from guavagate.links import Message, ZmqBus
from guavagate.measure.slopes._fit import Slope, fit_slope
from guavagate.models import InstanceId

_COUNTS: Final = (200, 400, 800, 1600)
_TIMEOUT_SECONDS: Final = 5.0
_REQUESTER: Final = InstanceId('asker')
_RESPONDER: Final = InstanceId('answerer')


class Ping(Message, frozen=True, kw_only=True):
    """Request about as large as the messages of a permit."""

    filler: bytes


class Pong(Message, frozen=True, kw_only=True):
    """Reply to a `Ping`."""

    filler: bytes


def measure_bus() -> list[Slope]:
    """Return the processor time of a request on both sides together."""
    clock = SystemClock()
    addresses = {
        _REQUESTER: _find_free_address(),
        _RESPONDER: _find_free_address(),
    }
    buses = {
        name: ZmqBus(name, address, addresses.get, clock)
        for name, address in addresses.items()
    }
    for bus in buses.values():
        bus.start()
    buses[_RESPONDER].register(Ping, _answer)
    try:
        times = [_time_requests(buses[_REQUESTER], count) for count in _COUNTS]
    finally:
        for bus in buses.values():
            bus.stop()
    return [fit_slope('bus request', 'us a request', _COUNTS, times)]


def _answer(sender: InstanceId, message: Message) -> Message:
    return Pong(filler=bytes(100))


def _time_requests(bus: ZmqBus, count: int) -> float:
    best = float('inf')
    for _ in range(3):
        started_at = time.process_time_ns()
        for _ in range(count):
            bus.request(
                _RESPONDER, Ping(filler=bytes(400)), Pong, _TIMEOUT_SECONDS
            )
        best = min(best, time.process_time_ns() - started_at)
    return best / 1000


def _find_free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'
