"""Stand-in for the platform's store that can be slow, down or lose answers."""

import random
from typing import Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

import gevent
import msgspec
from gevent.event import Event

from guavagate.clock import SystemClock
from guavagate.http1 import Exchange, HttpServer

_JSON: Final = (b'Content-Type', b'application/json')
_OK: Final = 200
_MISSING: Final = 404
_CONFLICT: Final = 409
_DOWN: Final = 503
_LOST_SHARE: Final = 0.3


class Store:
    """Stores objects by kind and name, with a shared revision and watches.

    `fault` is empty, busy (status 503), silent (no answer), lost (some writes
    take effect without an answer) or slow.
    """

    def __init__(self, address: str, seed: int) -> None:
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[str, int, dict[str, Any], bool]] = []
        self.revision = 1
        self.fault = ''
        self._changed = Event()
        self._random = random.Random(seed)
        self._clock = SystemClock()
        self._server = HttpServer(address, self._clock, self._handle)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Close the connections and stop listening."""
        self._server.drain(self._clock.now())

    def write(
        self, kind: str, name: str, spec: Any, *, delete: bool = False
    ) -> dict[str, Any]:
        """Write or delete an object on behalf of the operator or a sampler."""
        self.revision += 1
        stored = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        objects = self.kinds.setdefault(kind, {})
        if delete:
            objects.pop(name, None)
        else:
            objects[name] = stored
        self.history.append((kind, self.revision, stored, delete))
        self._changed.set()
        self._changed = Event()
        return stored

    def _handle(self, exchange: Exchange) -> None:
        body = exchange.read_body(2_000_000)
        if self.fault == 'busy':
            exchange.respond(_DOWN, [], b'')
            return
        if self.fault == 'silent':
            gevent.sleep(3)
            exchange.abort()
            return
        status, answer = self._answer(exchange, body)
        writes = exchange.request.method != 'GET'
        drop_answer = self._random.random() < _LOST_SHARE
        if self.fault == 'lost' and writes and drop_answer:
            exchange.abort()
            return
        if self.fault == 'slow':
            gevent.sleep(0.3)
        exchange.respond(status, [_JSON], msgspec.json.encode(answer))

    def _answer(self, exchange: Exchange, body: bytes) -> tuple[int, Any]:
        parts = urlsplit(exchange.request.target)
        path = [unquote(each) for each in parts.path.split('/')[2:]]
        query = {key: each[0] for key, each in parse_qs(parts.query).items()}
        method = exchange.request.method
        if method == 'GET' and 'watch' in query:
            return _OK, self._watch(path[0], query)
        if method == 'GET' and len(path) == 1:
            return _OK, self._list(path[0], query.get('after', ''))
        if method == 'GET':
            stored = self.kinds.get(path[0], {}).get(path[1])
            return (_MISSING, {}) if stored is None else (_OK, stored)
        if method == 'DELETE':
            return _OK, self.write(path[0], path[1], None, delete=True)
        return self._put(method, path, msgspec.json.decode(body))

    def _put(
        self, method: str, path: list[str], sent: dict[str, Any]
    ) -> tuple[int, Any]:
        kind, name = path[0], sent['metadata']['name']
        stored = self.kinds.get(kind, {}).get(name)
        if method == 'POST' and stored is not None:
            return _CONFLICT, stored
        if method == 'PUT' and stored is None:
            return _MISSING, {}
        expected = sent['metadata'].get('revision')
        if stored is not None and expected not in {
            None,
            stored['metadata']['revision'],
        }:
            return _CONFLICT, stored
        return _OK, self.write(kind, name, sent.get('spec'))

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        objects = self.kinds.get(kind, {})
        return {
            'items': [
                objects[name] for name in sorted(objects) if name > after
            ],
            'has-more': False,
            'store-revision': self.revision,
        }

    def _watch(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        since = int(query['watch'])
        until = self._clock.now() + int(query['wait-ms']) / 1000
        while True:
            found = [
                {'object': stored, 'deleted': deleted}
                for of, revision, stored, deleted in self.history
                if of == kind and revision > since
            ]
            left = until - self._clock.now()
            if found or left <= 0 or self.fault:
                return {'events': found, 'store-revision': self.revision}
            self._changed.wait(left)
