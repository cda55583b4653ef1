"""A small deployment: the project's own processes before the stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn, Self

import web
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'review.example'
_LOCK_PORT = 7998
_SETTINGS = """
node-name = "{name}"
role = "{role}"
node-class = "{node_class}"
serves = ["{node_class}"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
port-range = [7300, 7315]
seeds = []
bootstrap = {first}
loss-counts = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
{disk}
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listen]
{listen}
[limits]
link-mbps = 1000.0
memory-mb = 300
[bounds]
stable-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
retention-s = 120
cancel-ms = 3000
require-fence = false
lease-ms = 3000
thaw-slack-ms = 300
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
"""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: str) -> None:
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Daemon:
    """One process of the deploy file, started as the platform does."""

    def __init__(
        self, name: str, ip: str, zone: str, folder: pathlib.Path, store: str
    ) -> None:
        self.name = name
        self.ip = ip
        self.is_entry = name.startswith('edge')
        self.front = f'{ip}:8263'
        self.ready = f'{ip}:8268'
        self.process: subprocess.Popen[bytes] | None = None
        self._zone = zone
        self._folder = folder
        self._store = store
        self._first = True

    def start(self) -> None:
        """Write the settings and start the process."""
        data = self._folder / f'{self.name}.data'
        data.mkdir(exist_ok=True)
        listen = f'front = "{self.front}"\nready = "{self.ready}"'
        path = self._folder / f'{self.name}.toml'
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                role='entry' if self.is_entry else 'worker',
                node_class='edge' if self.is_entry else 'storage',
                ip=self.ip,
                zone=self._zone,
                first=str(self._first).lower(),
                disk='' if self.is_entry else f'data-dir = "{data}"',
                listen=listen if self.is_entry else '',
                store=self._store,
            )
        )
        self._first = False
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-P', '-m', 'guavagate.daemon', '--on-platform'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'GUAVAGATE_SETTINGS': str(path),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def read_log(self) -> str:
        """Return what the process has printed."""
        return (self._folder / f'{self.name}.log').read_text()


class Deployment:
    """Entries, workers and the store; samplers are added by a case."""

    def __init__(self, record: Record, entries: int, workers: int) -> None:
        self.record = record
        self.store = Store()
        self._block, self._lock = _take_block()
        self._temporary = tempfile.TemporaryDirectory(prefix='review-2-')
        folder = pathlib.Path(self._temporary.name)
        address = self.address(1, 8266)
        self._store_address = address
        self.entries = [
            Daemon(
                f'edge-z{number % 3 + 1}-{number}',
                self.ip(10 + number),
                f'z{number % 3 + 1}',
                folder,
                address,
            )
            for number in range(entries)
        ]
        self.workers = [
            Daemon(
                f'storage-z{number % 3 + 1}-{number}',
                self.ip(30 + number),
                f'z{number % 3 + 1}',
                folder,
                address,
            )
            for number in range(workers)
        ]

    def ip(self, number: int) -> str:
        """Return a loopback address of this run's own."""
        return f'127.0.{self._block}.{number}'

    def address(self, number: int, port: int = 9000) -> str:
        """Return an address with a port."""
        return f'{self.ip(number)}:{port}'

    async def __aenter__(self) -> Self:
        await self.store.start(self._store_address)
        return self

    async def __aexit__(self, *_: object) -> None:
        for daemon in [*self.entries, *self.workers]:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
        for daemon in [*self.entries, *self.workers]:
            if daemon.process is not None:
                daemon.process.wait()
        if os.environ.get('KEEP_LOGS'):
            for daemon in [*self.entries, *self.workers]:
                path = pathlib.Path(os.environ['KEEP_LOGS'])
                (path / f'{daemon.name}.log').write_text(daemon.read_log())
        self._temporary.cleanup()
        self._lock.close()

    async def start(self, limit: float = 30) -> None:
        """Start all processes and wait until the entries are ready."""
        for daemon in [*self.workers, *self.entries]:
            daemon.start()
        for entry in self.entries:
            await self.wait_ready(entry, limit)
        self.record.note('all entries are ready')

    async def wait_ready(self, entry: Daemon, limit: float = 30) -> None:
        """Wait until an entry answers its readiness probe with 200."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            found = await web.call(
                entry.ready, 'GET', '/readiness', [('Host', 'ready')]
            )
            if found is not None and found.first[1] == '200':
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(
            f'{entry.name} is not ready: {entry.read_log()[-2000:]}'
        )


def make_route(
    name: str, prefix: str, kind: str, **more: Any
) -> dict[str, Any]:
    """Return a route of a manifest."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': prefix,
        'route-type': kind,
        'timeout-ms': 10_000,
        'target-latency-ms': 400,
        'priority': 1,
        'max-attempts': 3,
        **more,
    }


def make_manifest(version: int, routes: list[Any], services: list[Any]) -> Any:
    """Return a manifest."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 33_554_432,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15_000,
        },
    }


def make_model_service() -> dict[str, Any]:
    """Return a service of model samplers in a manifest."""
    return {
        'name': 'llm',
        'health-path': '/health',
        'max-conns': 150,
        'engine': {
            'slots': 12,
            'kv-capacity': 90_000,
            'models': [{'name': 'm0'}],
        },
    }


def make_server(
    service: str, address: str, zone: str, slots: int, models: Any = ()
) -> dict[str, Any]:
    """Return the entry of a sampler in the store."""
    entry: dict[str, Any] = {
        'service': service,
        'address': address,
        'zone': zone,
        'version': '1',
        'slots': slots,
        'state': 'ready',
        'cold-remaining-ms': 0,
        'seq': 1,
    }
    if models:
        entry['stage'] = 'hybrid'
        entry['models'] = models
    return entry


def format_json(content: Any) -> bytes:
    """Return JSON."""
    return json.dumps(content).encode()


def _take_block() -> tuple[int, socket.socket]:
    """Reserve a block of loopback addresses that no other run uses."""
    for number in range(20, 250):
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with contextlib.suppress(OSError):
            lock.bind((f'127.0.{number}.254', _LOCK_PORT))
            return number, lock
        lock.close()
    raise RuntimeError('no block of loopback addresses is free')


def run_case(
    play: Callable[[Deployment, Record], Awaitable[bool]],
    folder: str,
    entries: int = 3,
    workers: int = 2,
) -> NoReturn:
    """Run a case and exit: 0 if the rule held, 1 if not, 2 without a result."""

    async def run() -> int:
        record = Record(folder)
        try:
            async with Deployment(record, entries, workers) as fleet:
                held = await play(fleet, record)
        except Exception as error:
            record.note(f'the case could not run: {error!r}')
            traceback.print_exc()
            return 2
        record.note('the rule held' if held else 'THE RULE WAS BROKEN')
        return 0 if held else 1

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(run())
    # Tasks of open connections are left to the end of the process.
    os._exit(code)
