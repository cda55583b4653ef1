"""Server that receives usage reports and records who sent them."""

from typing import Any, Final

import msgspec

from guavagate.clock import SystemClock
from guavagate.http1 import Exchange, HttpServer
from guavagate.platform import const

WINDOW_SECONDS: Final = 2


class DutyServer:
    """Stand-in for the platform's API that one elected instance calls."""

    def __init__(self, address: str) -> None:
        self.reports: list[tuple[float, str, int]] = []
        self.windows: dict[int, list[Any]] = {}
        self._clock = SystemClock()
        self._server = HttpServer(address, self._clock, self._handle)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def _handle(self, exchange: Exchange) -> None:
        report = msgspec.json.decode(exchange.read_body(1_000_000))
        holder = exchange.get_header(const.DUTY_HOLDER.lower())
        generation = int(exchange.get_header(const.DUTY_FENCE.lower()))
        self.reports.append((self._clock.now(), holder, generation))
        contents = self.windows.setdefault(report['window-id'], [])
        if report['counts'] not in contents:
            contents.append(report['counts'])
        exchange.respond(200, [], b'')
