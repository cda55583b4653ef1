"""Samplers and plain services of the platform, in one task each.

A sampler's text tells its own story: each event is `ID/NUMBER/VERSION`.
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
from standins.platform.store import Store

_ACCEPTED: Final = 202
_BUSY: Final = 409
_MISDIRECTED: Final = 421
_LOAD_SECONDS: Final = 0.3
_STREAM: Final = (b'Content-Type', b'text/event-stream')


class Journal:
    """What all samplers have seen; the checks read it."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        # What samplers were told of whose requests they run.
        self.teams: Counter[str] = Counter()
        self.keys_seen = 0
        self.orders: list[tuple[float, str, int]] = []
        # When a reward request came, by the seal that answered it, and when
        # the last event of an item was first made.
        self.rated: dict[str, tuple[str, float]] = {}
        self.whole_at: dict[str, float] = {}


class Sampler:
    """One process of a service; `model` is empty for a plain one."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        store: Store,
        journal: Journal,
        model: str = '',
    ) -> None:
        self.name = name
        self.model = model
        self.version = 1
        self.cut = float(0)
        self.starts = 0
        self._born = _read_millis()
        self._orders = 0
        self._loading = False
        self._journal = journal
        self._store = store
        self._random = random.Random(name)
        self._clock = SystemClock()
        self._entry: dict[str, Any] = {
            'service': service,
            'address': address,
            'zone': 'z1',
            'slots': 6,
            'state': 'ready',
        }
        self._server: HttpServer | None = None

    def listen(self, address: str) -> None:
        """Serve at an address that may differ from the registered one."""
        self._server = HttpServer(address, self._clock, self._handle)

    def start(self) -> None:
        """Listen and register."""
        if self._server is not None:
            self._server.start()
        self._register()

    def restart(self) -> None:
        """Start again under the same id; nothing of before is known."""
        self.starts += 1
        self._born = _read_millis()
        self._orders = 0
        self._loading = False
        self._register()

    def _models(self) -> list[dict[str, Any]]:
        if not self.model:
            return []
        return [{'name': self.model, 'version': self.version}]

    def _register(self) -> None:
        entry = {
            **self._entry,
            'models': self._models(),
            'born': self._born,
        }
        self._store.write('servers', self.name, entry)

    def _handle(self, exchange: Exchange) -> None:
        body = exchange.read_body(1_000_000)
        target = exchange.get_header(const.TARGET.lower())
        if target and target != self.name:
            exchange.respond(_MISDIRECTED, [(const.NOT_RUN, b'1')], b'')
        elif exchange.request.target == '/report':
            self._report(exchange)
        elif exchange.request.target == '/order':
            self._order(exchange, msgspec.json.decode(body))
        else:
            self._note_team(exchange)
            self._serve(exchange, exchange.get_header(const.REQUEST_ID.lower()))

    def _note_team(self, exchange: Exchange) -> None:
        self._journal.teams[exchange.get_header(const.TENANT.lower())] += 1
        self._journal.keys_seen += bool(
            exchange.get_header(const.AUTHORIZATION)
        )

    def _report(self, exchange: Exchange) -> None:
        report = {
            'models': self._models(),
            'busy': self._loading,
            'seq': self._orders,
            'born': self._born,
        }
        exchange.respond(200, [], msgspec.json.encode(report))

    def _order(self, exchange: Exchange, order: dict[str, Any]) -> None:
        now = self._clock.now()
        self._journal.orders.append((now, order['holder'], order['fence']))
        if order['version'] <= self.version:
            exchange.respond(200, [], b'')
            return
        if self._loading or order['precondition'] != self._orders:
            exchange.respond(_BUSY, [], b'')
            return
        self._orders += 1
        self._loading = True
        gevent.spawn(self._load, order['version'], self.starts)
        exchange.respond(_ACCEPTED, [], b'')

    def _load(self, version: int, start: int) -> None:
        gevent.sleep(_LOAD_SECONDS)
        if start != self.starts:
            return
        self.version = version
        self._loading = False
        self._register()

    def _serve(self, exchange: Exchange, name: str) -> None:
        self._journal.runs[name] += 1
        headers = [
            (const.REQUEST_ID, name.encode()),
            (const.VERSION, str(self.version).encode()),
        ]
        if not self.model:
            self._answer(exchange, name, headers)
            return
        exchange.start(200, [*headers, _STREAM])
        last = exchange.get_header(const.RESUME.lower()) or '0'
        try:
            self._stream(exchange, name, int(last))
        except CallerDisconnectedError:
            return

    def _answer(self, exchange: Exchange, name: str, headers: Headers) -> None:
        came = self._clock.now()
        gevent.sleep(self._random.uniform(0.005, 0.03))
        if self._random.random() < self.cut:
            exchange.abort()
            return
        seal = f'{self.name}.{self._random.getrandbits(48):x}'
        self._journal.rated[seal] = (name, came)
        headers = [*headers, (const.SEAL, seal.encode())]
        exchange.respond(200, headers, f'answer to {name}'.encode())

    def _stream(self, exchange: Exchange, name: str, last: int) -> None:
        shown = self.version
        start = self.starts
        for number in range(last + 1, count_events(name) + 1):
            gevent.sleep(0.03)
            broken = self._random.random() < self.cut / 10
            if broken or start != self.starts:
                exchange.abort()
                return
            lines = [f'id: {number}', f'data: {name}/{number}/{self.version}']
            if self.version != shown:
                shown = self.version
                lines.insert(0, f'{const.VERSION.decode()}: {shown}')
            text = '\n'.join(lines)
            exchange.send(f'{text}\n\n'.encode())
        self._journal.whole_at.setdefault(name, self._clock.now())
        exchange.end()


def _read_millis() -> int:
    return round(time.time() * const.MILLIS)


def count_events(item: str) -> int:
    """Return how many events an item's text has; a few are long."""
    draw = random.Random(item)
    return draw.randint(30, 60) if draw.random() < 0.1 else draw.randint(3, 12)
