"""Stand-ins for samplers and plain services of the platform.

Each event of a sampler's text is `ID/NUMBER/VERSION`, so that the checks can
tell from the text alone which item, event and model version it belongs to.
"""

import random
import time
from collections import Counter
from typing import Any, Final

import gevent
import msgspec

from guavagate.clock import SystemClock
from guavagate.http1 import (
    CallerDisconnectedError,
    Exchange,
    Headers,
    HttpServer,
)
from guavagate.platform import const
from standins.platform.arrivals import Arrival, Kind
from standins.platform.manifest import BURST_PATH, HEALTH_PATH
from standins.platform.proxy import Proxy
from standins.platform.store import Store
from standins.platform.topology import COLD_START_SECONDS, HOME_ZONE
from standins.platform.warmth import Warmth

_ACCEPTED: Final = 202
_BUSY: Final = 409
_MISDIRECTED: Final = 421
_LOAD_SECONDS: Final = 0.3
# A request with this path crashes each sampler that starts to run it.
CRASH_PATH: Final = '/ask/crash'
_DOWN_SECONDS: Final = 2.0
_JSON: Final = (b'Content-Type', b'application/json')
_LOAD: Final = (const.LOAD, b'0,0,6,100')
_COLD: Final = b'Guavagate-Cold-Ms'
_KINDS: Final = {
    HEALTH_PATH: Kind.PROBE,
    '/report': Kind.REPORT,
    '/order': Kind.ORDER,
}
_STREAM: Final = (b'Content-Type', b'text/event-stream')


class Journal:
    """Records what all samplers received, for the checks."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        # Number of requests by the team that they were sent for.
        self.teams: Counter[str] = Counter()
        self.keys_seen = 0
        self.orders: list[tuple[float, str, int]] = []
        # Name and arrival time of each reward request, by the signature in its
        # answer.
        self.rewards: dict[str, tuple[str, float]] = {}
        # Time and id of each crashing request that a sampler received, and the
        # time of each crash.
        self.crash_arrivals: list[tuple[float, str]] = []
        self.crashes: list[float] = []
        # When the last event of an item was first sent.
        self.completed_at: dict[str, float] = {}
        self.arrivals: list[Arrival] = []


class Sampler:
    """One upstream of a service; `model` is empty for a plain service."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        store: Store,
        journal: Journal,
        model: str = '',
        proxy: Proxy | None = None,
        zone: str = HOME_ZONE,
    ) -> None:
        self.zone = zone
        self.name = name
        self._first_name = name
        self._proxy = proxy
        self._crashes = 0
        self.model = model
        self.version = 1
        self.abort_probability = float(0)
        self.restarts = 0
        self._started_at_ms = _read_millis()
        self._accepted_orders = 0
        self._loading = False
        self._journal = journal
        self._store = store
        self._random = random.Random(name)
        self._clock = SystemClock()
        self._entry: dict[str, Any] = {
            'service': service,
            'address': address,
            'zone': zone,
            'slots': 6,
            'state': 'ready',
        }
        self._server: HttpServer | None = None
        self._warmth = Warmth(self._clock)

    def listen(self, address: str) -> None:
        """Set the address to listen on; a proxy may forward to it."""
        self._server = HttpServer(address, self._clock, self._handle)

    def start(self) -> None:
        """Start listening and register with the platform's store."""
        if self._server is not None:
            self._server.start()
        self.turn_cold()

    def turn_cold(self) -> None:
        """Become cold and register so; a plain service is never cold."""
        if self.model:
            self._warmth.turn_cold()
            # A moment later, so that the time that is left is 0 then.
            gevent.spawn_later(COLD_START_SECONDS + 0.05, self._register)
        self._register()

    def restart(self) -> None:
        """Simulate a restart under the same id that loses all state."""
        self.restarts += 1
        self._started_at_ms = _read_millis()
        self._accepted_orders = 0
        self._loading = False
        self.turn_cold()

    def crash(self) -> None:
        """Break all connections, and return later under a new id."""
        if self._proxy is None or self._proxy.closed:
            return
        self._crashes += 1
        self._journal.crashes.append(self._clock.now())
        self._proxy.close()
        gevent.spawn_later(_DOWN_SECONDS, self._return)

    def _return(self) -> None:
        self._store.write('servers', self.name, {}, delete=True)
        self.name = f'{self._first_name}.{self._crashes}'
        self.restart()
        if self._proxy is not None:
            self._proxy.start()

    def _list_models(self) -> list[dict[str, Any]]:
        if not self.model:
            return []
        return [{'name': self.model, 'version': self.version}]

    def _register(self) -> None:
        entry = {
            **self._entry,
            'models': self._list_models(),
            'born': self._started_at_ms,
            'cold-remaining-ms': self._warmth.read_remaining_ms(),
        }
        self._store.write('servers', self.name, entry)

    def _handle(self, exchange: Exchange) -> None:
        target = exchange.get_header(const.TARGET.lower())
        if not target or target == self.name:
            self._record_arrival(exchange)
        body = exchange.read_body(1_000_000)
        if target and target != self.name:
            echoed = exchange.get_header(const.REQUEST_ID.lower()).encode()
            headers = [(const.NOT_RUN, b'1'), (const.REQUEST_ID, echoed)]
            exchange.respond(_MISDIRECTED, headers, b'')
        elif exchange.request.target == HEALTH_PATH:
            sender = (const.INSTANCE, self.name.encode())
            headers = [sender, _LOAD, self._make_cold_header()]
            exchange.respond(200, headers, b'')
        elif exchange.request.target == '/report':
            self._send_report(exchange)
        elif exchange.request.target == '/order':
            self._handle_order(exchange, msgspec.json.decode(body))
        else:
            self._record_team(exchange)
            self._serve(exchange, exchange.get_header(const.REQUEST_ID.lower()))

    def _record_arrival(self, exchange: Exchange) -> None:
        path = exchange.request.target
        arrival = Arrival(
            at=self._clock.now(),
            sampler=self._first_name,
            zone=self.zone,
            kind=_KINDS.get(path, Kind.RUN),
            name=exchange.get_header(const.REQUEST_ID.lower()),
            cold=self._warmth.cold,
        )
        self._journal.arrivals.append(arrival)

    def _make_cold_header(self) -> tuple[bytes, bytes]:
        return _COLD, str(self._warmth.read_remaining_ms()).encode()

    def _record_team(self, exchange: Exchange) -> None:
        self._journal.teams[exchange.get_header(const.TENANT.lower())] += 1
        self._journal.keys_seen += bool(
            exchange.get_header(const.AUTHORIZATION)
        )

    def _send_report(self, exchange: Exchange) -> None:
        report = {
            'models': self._list_models(),
            'busy': self._loading,
            'seq': self._accepted_orders,
            'born': self._started_at_ms,
        }
        exchange.respond(200, [_JSON], msgspec.json.encode(report))

    def _handle_order(self, exchange: Exchange, order: dict[str, Any]) -> None:
        now = self._clock.now()
        self._journal.orders.append((now, order['holder'], order['fence']))
        if order['version'] <= self.version:
            exchange.respond(200, [], b'')
            return
        if self._loading or order['precondition'] != self._accepted_orders:
            exchange.respond(_BUSY, [], b'')
            return
        self._accepted_orders += 1
        self._loading = True
        gevent.spawn(self._load, order['version'], self.restarts)
        exchange.respond(_ACCEPTED, [], b'')

    def _load(self, version: int, restarts: int) -> None:
        gevent.sleep(_LOAD_SECONDS)
        if restarts != self.restarts:
            return
        self.version = version
        self._loading = False
        self._register()

    def _serve(self, exchange: Exchange, name: str) -> None:
        self._journal.runs[name] += 1
        if exchange.request.target == CRASH_PATH:
            self._journal.crash_arrivals.append((self._clock.now(), name))
            gevent.sleep(self._random.uniform(0.01, 0.06))
            self.crash()
            return
        headers = [
            (const.REQUEST_ID, name.encode()),
            (const.VERSION, str(self.version).encode()),
        ]
        if not self.model or exchange.request.target.startswith(BURST_PATH):
            self._answer(exchange, name, headers)
            return
        exchange.start(200, [*headers, _STREAM])
        last = exchange.get_header(const.RESUME.lower()) or '0'
        try:
            self._stream(exchange, name, int(last))
        except CallerDisconnectedError:
            return

    def _answer(self, exchange: Exchange, name: str, headers: Headers) -> None:
        received_at = self._clock.now()
        gevent.sleep(self._random.uniform(0.005, 0.03))
        if self._random.random() < self.abort_probability:
            exchange.abort()
            return
        seal = f'{self.name}.{self._random.getrandbits(48):x}'
        self._journal.rewards[seal] = (name, received_at)
        headers = [*headers, (const.SEAL, seal.encode()), _LOAD]
        exchange.respond(200, headers, f'answer to {name}'.encode())

    def _stream(self, exchange: Exchange, name: str, last: int) -> None:
        announced = self.version
        restarts = self.restarts
        for number in range(last + 1, count_events(name) + 1):
            gevent.sleep(0.03)
            aborts = self._random.random() < self.abort_probability / 10
            if aborts or restarts != self.restarts:
                exchange.abort()
                return
            lines = [f'id: {number}', f'data: {name}/{number}/{self.version}']
            if self.version != announced:
                announced = self.version
                lines.insert(0, f'{const.VERSION.decode()}: {announced}')
            text = '\n'.join(lines)
            exchange.send(f'{text}\n\n'.encode())
        self._journal.completed_at.setdefault(name, self._clock.now())
        exchange.end()


def _read_millis() -> int:
    return round(time.time() * const.MILLIS)


def count_events(item: str) -> int:
    """Return the number of events of an item's text; a few are long."""
    draw = random.Random(item)
    return draw.randint(30, 60) if draw.random() < 0.1 else draw.randint(3, 12)
