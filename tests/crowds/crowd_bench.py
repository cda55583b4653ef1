"""One entry process with low limits, between a store and an upstream.

The checks don't depend on the speed of the machine: the process lives, its
memory and open descriptors stay within its settings, and an ordinary request
is answered while the crowd is still there.
"""

import contextlib
import logging
import pathlib
import signal
import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket
from gevent.pool import Group

from guavagate.clock import SystemClock
from guavagate.http1 import (
    CallerDisconnectedError,
    Exchange,
    Headers,
    HttpServer,
)
from guavagate.platform import const
from standins.platform.addresses import AddressBlock
from standins.platform.fleet import Daemon
from standins.platform.store import Store

_LOGGER: Final = logging.getLogger(__name__)
# The least memory and the fewest descriptors of the users' machines are more.
MEMORY_MEGABYTES: Final = 128
MAX_DESCRIPTORS: Final = 500
HOST: Final = 'crowd.example'
ASK_PATH: Final = '/ask/'
ONCE_PATH: Final = '/once/'
LONG_PATH: Final = '/ask/long'
WAIT_PATH: Final = '/ask/wait'
STREAM_PATH: Final = '/stream/'
JOBS_PATH: Final = '/jobs/'
LONG_BYTES: Final = 4_000_000
STREAM_EVENTS: Final = 400
EVENT_BYTES: Final = 1000
# So long that no timeout ends a crowd before the checks.
_TIMEOUT_MS: Final = 120_000
_READY_SECONDS: Final = 60
_SETTLE_SECONDS: Final = 120
# A crowd in which nothing has moved for so long has sent what it could.
_QUIET_SECONDS: Final = 3.0
_WATCH_SECONDS: Final = 0.05
_ANSWER_SECONDS: Final = 20
_TRIES: Final = 40
_BYTES: Final = 65_536


class Bench:
    """An entry process with its store, its upstream and a crowd."""

    def __init__(
        self,
        folder: pathlib.Path,
        answer: Callable[[Exchange], None] | None = None,
    ) -> None:
        self._block = AddressBlock(57)
        prefix = f'127.0.{self._block.number}'
        self._store = Store(f'{prefix}.250:8000', 1)
        self._upstream_address = f'{prefix}.200:9000'
        self._upstream = HttpServer(
            self._upstream_address, SystemClock(), answer or _answer
        )
        self.entry = Daemon(
            'entry-0',
            f'{prefix}.1',
            f'{prefix}.250:8000',
            folder,
            duty_address=self._upstream_address,
            limits={'memory-mb': MEMORY_MEGABYTES, 'max-fds': MAX_DESCRIPTORS},
        )
        self.log = folder / 'entry-0.log'
        self.crowd = Group()
        self.moved_at = time.monotonic()
        self.most_descriptors = 0
        self._sockets: list[socket.socket] = []
        self._watcher: Any = None

    def start(self) -> None:
        """Start all parts and wait until the entry answers."""
        self._store.start()
        self._store.write('config', 'main', _make_manifest())
        self._upstream.start()
        for service in ('desk', 'llm'):
            self._register(service)
        self.entry.start()
        self._watcher = gevent.spawn(self._watch)
        with gevent.Timeout(_READY_SECONDS):
            while self.ask() != 200:
                gevent.sleep(0.2)

    def stop(self) -> None:
        """End all parts."""
        self.crowd.kill()
        for sock in self._sockets:
            sock.close()
        if self._watcher is not None:
            self._watcher.kill()
        self.entry.kill()
        self._store.stop()
        self._upstream.drain(0)
        self._block.release()

    def connect(self, receive_bytes: int = 0) -> socket.socket:
        """Return a new connection that stays open until the end."""
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        host, _, port = self.entry.address.rpartition(':')
        sock.connect((host, int(port)))
        self._sockets.append(sock)
        return sock

    def gather(self, size: int, behave: Callable[[int], None]) -> None:
        """Start a crowd, and wait until nothing moves any more.

        Parameters
        ----------
        behave
            What each client does, by its number. A client that is refused or
            cut off does nothing more.
        """

        def run(number: int) -> None:
            with contextlib.suppress(OSError):
                behave(number)

        self.moved_at = time.monotonic()
        for number in range(size):
            self.crowd.spawn(run, number)
        with gevent.Timeout(_SETTLE_SECONDS):
            while time.monotonic() < self.moved_at + _QUIET_SECONDS:
                gevent.sleep(0.2)

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send data for as long as the entry takes it."""
        for start in range(0, len(data), _BYTES):
            sock.sendall(data[start : start + _BYTES])
            self.moved_at = time.monotonic()

    def receive(self, sock: socket.socket, size: int) -> None:
        """Receive so many bytes or less, then nothing more."""
        while size > 0:
            data = sock.recv(min(size, _BYTES))
            if not data:
                return
            size -= len(data)
            self.moved_at = time.monotonic()

    def ask(self) -> int:
        """Send an ordinary request; return the status, or 0 without one."""
        request = make_head('GET', f'{ASK_PATH}ordinary')
        try:
            with (
                gevent.Timeout(_ANSWER_SECONDS, TimeoutError),
                contextlib.closing(socket.socket()) as sock,
            ):
                host, _, port = self.entry.address.rpartition(':')
                sock.connect((host, int(port)))
                sock.sendall(request)
                answer = sock.recv(_BYTES)
        except (OSError, TimeoutError):
            return 0
        return int(answer.split(b' ')[1]) if answer else 0

    def check(self) -> None:
        """Check the process, and that an ordinary request is answered."""
        statuses: list[int] = []
        while 200 not in statuses and len(statuses) < _TRIES:
            gevent.sleep(0.3)
            statuses.append(self.ask())
        process = self.entry.send_signal(signal.SIGCONT)
        assert process is not None, 'the process has ended'
        peak = self.read_peak_megabytes(process.pid)
        _LOGGER.info(
            'Measured %s, %s MB, %s descriptors',
            statuses,
            peak,
            self.most_descriptors,
        )
        assert statuses[-1] == 200
        assert peak < MEMORY_MEGABYTES
        assert self.most_descriptors <= MAX_DESCRIPTORS
        assert 'Traceback' not in self.log.read_text()

    def read_peak_megabytes(self, pid: int) -> float:
        """Return the most memory that the process has held."""
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        line = next(x for x in status.splitlines() if x.startswith('VmHWM:'))
        return int(line.split()[1]) * 1024 / 1e6

    def _watch(self) -> None:
        while True:
            process = self.entry.send_signal(signal.SIGCONT)
            if process is not None:
                descriptors = pathlib.Path(f'/proc/{process.pid}/fd')
                with contextlib.suppress(OSError):
                    count = len(list(descriptors.iterdir()))
                    self.most_descriptors = max(self.most_descriptors, count)
            gevent.sleep(_WATCH_SECONDS)

    def _register(self, service: str) -> None:
        entry = {
            'service': service,
            'address': self._upstream_address,
            'zone': 'z1',
            'slots': 16,
            'state': 'ready',
        }
        self._store.write('servers', f's-{service}', entry)


def make_head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request."""
    head = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'{const.REQUEST_ID.decode()}: r-{time.monotonic_ns()}',
        *lines,
    )
    return '\r\n'.join((*head, '', '')).encode()


def make_chunked_head(path: str) -> bytes:
    """Return the head of a request whose body has no known length."""
    return make_head('POST', path, 'Transfer-Encoding: chunked')


def make_chunks(size: int, chunk: int) -> bytes:
    """Return a body in chunks without its end."""
    one = f'{chunk:x}\r\n{"x" * chunk}\r\n'
    return one.encode() * (size // chunk)


def make_answer_headers(exchange: Exchange) -> Headers:
    """Return what makes an answer the one to a request."""
    request_id = exchange.get_header(const.REQUEST_ID.lower()).encode()
    return [(const.REQUEST_ID, request_id), (const.SEAL, b's')]


def _answer(exchange: Exchange) -> None:
    """Answer as an upstream of both services."""
    exchange.read_body(40_000_000)
    headers = make_answer_headers(exchange)
    path = exchange.request.target
    if path == WAIT_PATH:
        gevent.sleep(60)
    if path.startswith(STREAM_PATH):
        with contextlib.suppress(CallerDisconnectedError):
            _stream(exchange, headers)
        return
    size = LONG_BYTES if path == LONG_PATH else 100
    exchange.respond(200, headers, b'a' * size)


def _stream(exchange: Exchange, headers: list[tuple[bytes, bytes]]) -> None:
    kind = (b'Content-Type', b'text/event-stream')
    exchange.start(200, [*headers, kind])
    for number in range(1, STREAM_EVENTS + 1):
        text = 'e' * EVENT_BYTES
        exchange.send(f'id: {number}\ndata: {text}\n\n'.encode())
        gevent.sleep(0)
    exchange.end()


def _make_manifest() -> dict[str, Any]:
    common = {
        'host': HOST,
        'target-latency-ms': 60_000,
        'timeout-ms': _TIMEOUT_MS,
        'max-attempts': 2,
        'service': 'desk',
    }
    routes: tuple[dict[str, Any], ...] = (
        {'path-prefix': ASK_PATH, 'route-type': 'idempotent'},
        {'path-prefix': ONCE_PATH, 'route-type': 'non_idempotent'},
        {'path-prefix': STREAM_PATH, 'route-type': 'streaming'},
        {
            'path-prefix': JOBS_PATH,
            'route-type': 'rollout',
            'service': 'llm',
            'item-ttl-s': 300,
            'target-run-ms': 7500,
        },
    )
    return {
        'version': 1,
        'routes': [
            {**common, **route, 'name': f'r{number}'}
            for number, route in enumerate(routes)
        ],
        'services': [{'name': 'llm'}, {'name': 'desk', 'max-conns': 1000}],
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 33_554_432,
            'header-timeout-ms': _TIMEOUT_MS,
            'idle-timeout-ms': _TIMEOUT_MS,
        },
    }
