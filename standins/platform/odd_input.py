"""Faults of other programs: broken answers and odd entries of the store."""

import random
from collections.abc import Callable
from typing import Any, Final

import gevent
import msgspec

from standins.platform.proxy import Proxy
from standins.platform.store import Store
from standins.platform.topology import HOME_ZONE

_MIN_PAUSE_SECONDS: Final = 0.5
_MAX_PAUSE_SECONDS: Final = 2.0
_BROKEN_SECONDS: Final = 0.3
_ENTRY_SECONDS: Final = 1.0
_NESTING: Final = 20_000
_OK: Final = b'HTTP/1.1 200 OK\r\n'
_BROKEN_ANSWERS: Final = (
    b'HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\nx',
    b'%bA b: 1\r\nContent-Length: 1\r\n\r\nx' % _OK,
    b'%bA: 1\r\n Content-Length: 1\r\n\r\nxyz' % _OK,
    b'%bA\x01: 1\r\nContent-Length: 1\r\n\r\nx' % _OK,
    b'%bA: %b' % (_OK, b'a' * 200_000),
    b'%bTransfer-Encoding: chunked\r\n\r\n%b' % (_OK, b'1\r\na\r\n' * 100_000),
    b'\x00\xff\r\n\r\n',
)


class OddInput:
    """Has samplers send broken answers, and another writer odd entries.

    Parameters
    ----------
    samplers
        The proxies in front of the samplers.
    record
        Records that the answers of a sampler are disturbed.
    """

    def __init__(
        self,
        rng: random.Random,
        samplers: list[Proxy],
        store: Store,
        record: Callable[[Proxy], None],
    ) -> None:
        self._random = rng
        self._samplers = samplers
        self._store = store
        self._record = record

    def run(self) -> None:
        """Disturb until killed."""
        while True:
            pause = self._random.uniform(_MIN_PAUSE_SECONDS, _MAX_PAUSE_SECONDS)
            gevent.sleep(pause)
            gevent.spawn(self._break_answers)
            gevent.spawn(self._write_entry)

    def stop(self) -> None:
        """End all disturbances."""
        for proxy in self._samplers:
            proxy.broken_answer = b''

    def _break_answers(self) -> None:
        proxy = self._random.choice(self._samplers)
        self._record(proxy)
        proxy.broken_answer = self._random.choice(_BROKEN_ANSWERS)
        gevent.sleep(_BROKEN_SECONDS)
        proxy.broken_answer = b''
        self._record(proxy)

    def _write_entry(self) -> None:
        name = f'odd-{self._random.randrange(1000)}'
        self._store.write('servers', name, self._make_entry())
        gevent.sleep(_ENTRY_SECONDS)
        self._store.write('servers', name, None, delete=True)

    def _make_entry(self) -> Any:
        """Return an entry that names no sampler, though most of it is valid."""
        entry: dict[str, Any] = {
            'service': 'llm',
            'address': '127.0.0.1:9',
            'zone': HOME_ZONE,
            'slots': 6,
            'state': 'ready',
        }
        deep = b'%b%b' % (b'[' * _NESTING, b']' * _NESTING)
        odd = self._random.choice(
            (
                {'address': '127.0.0.1:99999'},
                {'slots': msgspec.Raw(b'9' * 30)},
                {'state': 'unknown'},
                {'later': msgspec.Raw(deep)},
            )
        )
        return {**entry, **odd}
