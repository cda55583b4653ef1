"""A sound model sampler: reports, orders for versions, and event streams."""

import asyncio
import json
import time
from typing import Any

import web
from deployment import Deployment, make_server

_JSON = ('Content-Type', 'application/json')
LOAD_SECONDS = 0.9


class Sampler:
    """A sampler whose event n of request R has the data `R/n/VERSION`.

    `length` returns the number of events of a request, and `pauses` how many
    seconds a run waits before it makes an event (by request and number).
    """

    def __init__(
        self,
        fleet: Deployment,
        name: str,
        number: int,
        zone: str,
        **options: Any,
    ) -> None:
        self.name = name
        self.address = fleet.address(number)
        self.zone = zone
        self.models: dict[str, int] = dict(options.get('models', {'m0': 1}))
        self.service: str = options.get('service', 'llm')
        self.slots: int = options.get('slots', 12)
        self.events: int = options.get('events', 15)
        self.step: float = options.get('step', 0.036)
        self.pauses: dict[tuple[str, int], float] = {}
        self.orders: list[tuple[float, str, int, Any]] = []
        self.arrivals: list[tuple[float, str, str]] = []
        self.running: dict[str, int] = {}
        self.last_run_at = 0.0
        self._fleet = fleet
        self._record = fleet.record
        self._seq = 0
        self._beat = 0
        self._busy = False

    async def start(self, listen: str = '') -> None:
        """Listen, and register in the store."""
        await web.serve(listen or self.address, self.handle)
        self.register()

    def register(self) -> None:
        """Write the entry in the store."""
        self._beat += 1
        entry = make_server(
            self.service, self.address, self.zone, self.slots, self._models()
        )
        entry['seq'] = self._beat
        entry['born'] = 0
        self._fleet.store.write('servers', self.name, entry)

    def _models(self) -> list[dict[str, Any]]:
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.models.items()
        ]

    async def handle(self, request: web.Message, channel: web.Channel) -> None:
        """Answer one request."""
        target = request.get('guavagate-target-instance')
        path = request.first[1]
        if target not in {'', self.name}:
            name = request.get('guavagate-request-id')
            headers = [
                ('Guavagate-Not-Executed', '1'),
                ('Guavagate-Request-Id', name),
            ]
            await channel.answer(421, headers)
        elif path == '/health':
            await channel.answer(200, [('Guavagate-Instance-Id', self.name)])
        elif path == '/report':
            await channel.answer(
                200, [_JSON], json.dumps(self._report()).encode()
            )
        elif path == '/order':
            await self._order(json.loads(request.body), channel)
        else:
            await self.serve(request, channel)

    def _report(self) -> dict[str, Any]:
        return {
            'stage': 'hybrid',
            'models': self._models(),
            'busy': self._busy,
            'seq': self._seq,
            'num-waiting': 0,
            'num-running': sum(self.running.values()),
            'kv-used': 0,
            'kv-total': 90_000,
            'handles': 0,
        }

    async def _order(self, order: Any, channel: web.Channel) -> None:
        now = self._record.now()
        self.orders.append((now, order['holder'], order['fence'], order))
        self._record.note(
            f'{self.name} gets an order of {order["holder"]},'
            f' generation {order["fence"]}, for {order["model"]}'
            f' version {order["version"]}'
        )
        if self.models.get(order['model'], 0) >= order['version']:
            await channel.answer(200, [])
        elif self._busy or order.get('precondition', self._seq) != self._seq:
            await channel.answer(409, [])
        else:
            self._seq += 1
            self._busy = True
            asyncio.get_running_loop().call_later(
                LOAD_SECONDS, self._load, order['model'], order['version']
            )
            await channel.answer(202, [])

    def _load(self, model: str, version: int) -> None:
        self.models[model] = version
        self._busy = False
        self.register()

    async def serve(self, request: web.Message, channel: web.Channel) -> None:
        """Run a request for tokens."""
        name = request.get('guavagate-request-id')
        model = request.get('guavagate-model') or next(iter(self.models))
        after = int(request.get('last-event-id') or 0)
        self.arrivals.append((self._record.now(), name, request.first[1]))
        self._record.note(f'{self.name} runs {name} after {after}')
        self.running[name] = self.running.get(name, 0) + 1
        try:
            await self.stream(name, model, after, channel)
        finally:
            self.running[name] -= 1
            self.last_run_at = self._record.now()

    async def stream(
        self, name: str, model: str, after: int, channel: web.Channel
    ) -> None:
        """Send the events of a run that follow the event `after`."""
        version = self.models.get(model, 1)
        await channel.begin(
            [
                ('Content-Type', 'text/event-stream'),
                ('Guavagate-Request-Id', name),
                (
                    'Guavagate-Server-Seal',
                    f'{self.name}.{name}.{time.time():.6f}',
                ),
                ('Guavagate-Weight-Versions', str(version)),
            ]
        )
        for number in range(after + 1, self.events + 1):
            await self._wait(
                self.step + self.pauses.pop((name, number), 0), channel
            )
            if channel.gone:
                self._record.note(f'{self.name} drops {name} before {number}')
                return
            await self.send_event(name, number, model, version, channel)
            version = self.models.get(model, 1)
        await channel.chunk(b'')

    async def send_event(
        self,
        name: str,
        number: int,
        model: str,
        before: int,
        channel: web.Channel,
    ) -> None:
        """Send one event."""
        version = self.models.get(model, 1)
        text = f'id: {number}\ndata: {name}/{number}/{version}\n\n'
        if version != before:
            text = f'guavagate-weight-versions: {version}\n{text}'
        await channel.chunk(text.encode())

    async def _wait(self, seconds: float, channel: web.Channel) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until and not channel.gone:
            await asyncio.sleep(min(0.05, max(until - loop.time(), 0)))
