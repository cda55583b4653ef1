"""What a request on the bus costs both sides, over loopback."""

import socket
import time
from typing import Final

from guavagate.clock import SystemClock
from guavagate.links import Message, ZmqBus
from guavagate.measure.slopes._fit import Slope, fit_slope
from guavagate.models import InstanceId

_COUNTS: Final = (200, 400, 800, 1600)
_TIMEOUT: Final = 5.0
_ASKER: Final = InstanceId('asker')
_ANSWERER: Final = InstanceId('answerer')


class Ping(Message, frozen=True, kw_only=True):
    """About as large as a permit's messages."""

    filler: bytes


class Pong(Message, frozen=True, kw_only=True):
    """The answer."""

    filler: bytes


def measure_bus() -> list[Slope]:
    """Return the processor time of a request, both sides together."""
    clock = SystemClock()
    addresses = {_ASKER: _free_address(), _ANSWERER: _free_address()}
    buses = {
        name: ZmqBus(name, address, addresses.get, clock)
        for name, address in addresses.items()
    }
    for bus in buses.values():
        bus.start()
    buses[_ANSWERER].register(Ping, _answer)
    try:
        times = [_time_requests(buses[_ASKER], count) for count in _COUNTS]
    finally:
        for bus in buses.values():
            bus.stop()
    return [fit_slope('bus request', 'us a request', _COUNTS, times)]


def _answer(sender: InstanceId, message: Message) -> Message:
    return Pong(filler=bytes(100))


def _time_requests(bus: ZmqBus, count: int) -> float:
    best = float('inf')
    for _ in range(3):
        begun = time.process_time_ns()
        for _ in range(count):
            bus.request(_ANSWERER, Ping(filler=bytes(400)), Pong, _TIMEOUT)
        best = min(best, time.process_time_ns() - begun)
    return best / 1000


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'
