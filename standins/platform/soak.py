"""Soak test: runs real daemons, injects faults and checks the guarantees.

The seed determines the faults, their times and overlaps. All processes use
loopback addresses; the test ends only processes that it started.
"""

import contextlib
import pathlib
import random
import signal
from collections.abc import Callable
from typing import Final

import gevent

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.http1 import Answer, ConnectionPool, Headers, Request
from guavagate.platform import const
from standins.platform.checks import Verdict
from standins.platform.crashes import CrashingCallers
from standins.platform.duties import DutyServer
from standins.platform.fleet import REVOKE_SECONDS, Daemon, wait_for_exit
from standins.platform.manifest import (
    PERMANENT_KEY,
    TEAM,
    make_expiring_key,
    make_manifest,
)
from standins.platform.proxy import Proxy
from standins.platform.sampler import Journal, Sampler
from standins.platform.store import Store
from standins.platform.trainer import MODEL, Trainer

_HOST: Final = (b'Host', b'soak.example')
_OK: Final = 200
_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_WARM_UP_SECONDS: Final = 6.0
_SETTLE_SECONDS: Final = 12.0
_CALM_SETTLE_SECONDS: Final = 4.0
_PLANNED_STOP_SECONDS: Final = 10.0
_ENTRIES: Final = 3
_WORKERS: Final = 2
_SAMPLERS: Final = 3
_PLAIN_UPSTREAMS: Final = 2
# The grace period of a planned stop and a margin for a busy machine.
STOP_SECONDS: Final = 9


class Soak:
    """A run of the soak test with one seed.

    Parameters
    ----------
    block
        Third byte of the loopback addresses, different for parallel runs.
    """

    def __init__(self, seed: int, block: int, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self.clock = SystemClock()
        self.journal = Journal()
        self.verdict = Verdict(self.journal)
        self.faults: list[tuple[float, str]] = []
        self._version = 1
        self._block = block
        self.store = Store(self._make_address(250, 8000), seed)
        self.duty_server = DutyServer(self._make_address(249, 8000))
        self._revoked_keys: list[tuple[float, str]] = []
        self.proxies = [
            Proxy(self._make_address(251, 8000), self._make_address(250, 8000))
        ]
        self.samplers = [
            self._make_sampler(number)
            for number in range(_SAMPLERS + _PLAIN_UPSTREAMS)
        ]
        names = [f'entry-{number}' for number in range(_ENTRIES)]
        names += [f'worker-{number}' for number in range(_WORKERS)]
        self.daemons = [
            Daemon(
                name,
                f'127.0.{block}.{number}',
                self._make_address(251, 8000),
                folder,
                self._make_address(249, 8000),
            )
            for number, name in enumerate(names, 1)
        ]
        self._pool = ConnectionPool(self.clock)
        self.crashing = CrashingCallers(
            self.clock,
            self.random,
            self.verdict,
            self.journal,
            self._call_any_entry,
            self._list_fault_times,
        )
        self.trainer = Trainer(
            self.clock,
            self.random,
            self.verdict,
            self.store,
            self._call_any_entry,
        )

    def _make_address(self, last: int, port: int) -> str:
        return f'127.0.{self._block}.{last}:{port}'

    def _make_sampler(self, number: int) -> Sampler:
        model = MODEL if number < _SAMPLERS else ''
        target = self._make_address(100 + number, 9000)
        proxy_address = self._make_address(150 + number, 9000)
        proxy = Proxy(proxy_address, target)
        self.proxies.append(proxy)
        service = 'llm' if model else 'desk'
        sampler = Sampler(
            f'i-{number}',
            service,
            proxy_address,
            self.store,
            self.journal,
            model,
            proxy,
        )
        sampler.listen(target)
        return sampler

    def run(self, seconds: float, *, calm: bool = False) -> Verdict:
        """Inject faults for a time, unless calm; check the final state."""
        self.store.start()
        self.duty_server.start()
        for start in (
            *(proxy.start for proxy in self.proxies),
            *(sampler.start for sampler in self.samplers),
            *(daemon.start for daemon in self.daemons),
        ):
            start()
        self._configure()
        try:
            gevent.sleep(_WARM_UP_SECONDS)
            callers = [
                self._send_idempotent_requests,
                self._send_idempotent_requests,
                self._send_revoked_keys,
                self._send_non_idempotent_requests,
                self.trainer.run,
                *self.crashing.callers,
            ]
            tasks = [gevent.spawn(run) for run in callers]
            self._inject_faults(seconds, calm=calm)
            self.trainer.stop()
            gevent.sleep(_CALM_SETTLE_SECONDS if calm else _SETTLE_SECONDS)
            self.crashing.check()
            gevent.killall(tasks)
            self._check_end()
        finally:
            for daemon in self.daemons:
                daemon.kill()
        return self.verdict

    def _configure(self) -> None:
        self._version += 1
        manifest = make_manifest(self._version, MODEL)
        self.store.write('config', 'main', manifest)
        revoked_key = make_expiring_key(self._version - 2)
        self._revoked_keys.append((self.clock.now(), revoked_key))

    # Faults.

    def _inject_faults(self, seconds: float, *, calm: bool) -> None:
        if calm:
            gevent.sleep(seconds)
            return
        until = self.clock.now() + seconds
        kinds: list[Callable[[], None]] = [
            self._kill,
            self._stop,
            self._pause,
            self._disturb_store,
            self._disturb_connections,
            self._cut_streams,
            self._restart_sampler,
            self._configure,
        ]
        while self.clock.now() < until:
            gevent.spawn(self.random.choice(kinds))
            gevent.sleep(self.random.uniform(0.3, 2.5))

    def _record_fault(self, what: str, daemon: Daemon | None = None) -> None:
        now = self.clock.now()
        if daemon is None:
            self.faults.append((now, what))
        else:
            daemon.faults.append((now, what))

    def _kill(self) -> None:
        daemon = self.random.choice(self.daemons)
        self._record_fault('kill', daemon)
        if wait_for_exit(daemon.send_signal(signal.SIGKILL), 5):
            gevent.sleep(self.random.uniform(0.1, 1.5))
            daemon.start()
            self._record_fault('kill', daemon)

    def _stop(self) -> None:
        daemon = self.random.choice(self.daemons)
        self._record_fault('stop', daemon)
        if not wait_for_exit(daemon.send_signal(signal.SIGTERM), STOP_SECONDS):
            if not daemon.list_faults_since(self.clock.now() - 12) - {'stop'}:
                self.verdict.fail('STOP', f'{daemon.name} did not stop in time')
            wait_for_exit(daemon.send_signal(signal.SIGKILL), 5)
        daemon.start()

    def _pause(self) -> None:
        daemon = self.random.choice(self.daemons)
        self._record_fault('pause', daemon)
        daemon.send_signal(signal.SIGSTOP)
        gevent.sleep(self.random.uniform(0.5, 4))
        daemon.send_signal(signal.SIGCONT)
        self._record_fault('pause', daemon)

    def _disturb_store(self) -> None:
        self._record_fault('store')
        self.store.fault = self.random.choice(
            ('busy', 'silent', 'lost', 'slow')
        )
        gevent.sleep(self.random.uniform(0.5, 3))
        self.store.fault = ''
        self._record_fault('store')

    def _disturb_connections(self) -> None:
        self._record_fault('way')
        proxy = self.random.choice(self.proxies)
        proxy.fault = self.random.choice(('delay', 'reset', 'silent'))
        gevent.sleep(self.random.uniform(0.3, 2))
        proxy.fault = ''
        self._record_fault('way')

    def _cut_streams(self) -> None:
        self._record_fault('samplers')
        for sampler in self.samplers:
            sampler.abort_probability = self.random.choice((0, 0.2))
        gevent.sleep(2)
        for sampler in self.samplers:
            sampler.abort_probability = 0
        self._record_fault('samplers')

    def _restart_sampler(self) -> None:
        self._record_fault('samplers')
        self.random.choice(self.samplers).restart()
        gevent.sleep(1)
        self._record_fault('samplers')

    def _list_fault_times(self) -> list[float]:
        lists = [self.faults, *(each.faults for each in self.daemons)]
        return [when for faults in lists for when, _ in faults]

    # Callers.

    def _call(
        self,
        daemon: Daemon,
        method: str,
        target: str,
        name: str,
        body: bytes = b'',
        key: str = PERMANENT_KEY,
    ) -> tuple[int, bytes, Answer]:
        headers: Headers = [
            _HOST,
            (const.REQUEST_ID, name.encode()),
            (b'Authorization', f'Bearer {key}'.encode()),
        ]
        request = Request(method, target, headers)
        answer = self._pool.send(
            daemon.address, request, body, timeout=6, reuse=True
        )
        with gevent.Timeout(6, UpstreamError('late', 'look')):
            return answer.status, answer.read(), answer

    def _call_any_entry(
        self, method: str, target: str, name: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        status, answer, _ = self._call(
            self._pick_entry(), method, target, name, body
        )
        return status, answer

    def _pick_entry(self) -> Daemon:
        return self.random.choice(self.daemons[:_ENTRIES])

    def _send_idempotent_requests(self) -> None:
        """Send idempotent requests and check that each answer is theirs."""
        while True:
            gevent.sleep(self.random.uniform(0.02, 0.1))
            name = f'a{self.random.getrandbits(48):x}'
            daemon, began = self._pick_entry(), self.clock.now()
            try:
                status, body, _ = self._call(
                    daemon, 'POST', f'/ask/{name}', name, b'x'
                )
            except UpstreamNotStartedError:
                continue
            except UpstreamError as error:
                self._check_cut(daemon, began, error)
                continue
            if status == _OK:
                matches = body == f'answer to {name}'.encode()
                self.verdict.expect(matches, 'ANSWER', f'{name} {body!r}')

    def _send_revoked_keys(self) -> None:
        """Send requests with a key whose revocation bound has passed."""
        while True:
            gevent.sleep(self.random.uniform(0.05, 0.2))
            before = self.clock.now() - REVOKE_SECONDS
            expired = [key for when, key in self._revoked_keys if when < before]
            if not expired:
                continue
            name = f'k{self.random.getrandbits(48):x}'
            with contextlib.suppress(UpstreamError):
                self._call(
                    self._pick_entry(),
                    'POST',
                    f'/ask/{name}',
                    name,
                    b'x',
                    expired[-1],
                )
            gevent.spawn_later(3, self._check_revoked, name)

    def _check_revoked(self, name: str) -> None:
        run_count = self.journal.runs[name]
        self.verdict.expect(
            not run_count, 'REVOKED', f'{name} ran {run_count} times'
        )

    def _check_cut(
        self, daemon: Daemon, began: float, error: UpstreamError
    ) -> None:
        """Report a cut request unless another fault explains it."""
        since = began - _PLANNED_STOP_SECONDS
        other_faults = {what for when, what in self.faults if when >= since}
        own_faults = daemon.list_faults_since(since)
        if own_faults <= {'stop'} and not other_faults:
            self.verdict.fail('CUT', f'{daemon.name} {own_faults} {error}')

    def _send_non_idempotent_requests(self) -> None:
        """Send requests that may run once; a refused one must not have run."""
        while True:
            gevent.sleep(self.random.uniform(0.05, 0.2))
            name = f'f{self.random.getrandbits(48):x}'
            status = 0
            with contextlib.suppress(UpstreamError):
                status, _, _ = self._call(
                    self._pick_entry(), 'POST', f'/file/{name}', name, b'x'
                )
            if status in _NOT_RUN:
                gevent.spawn_later(3, self._check_not_run, name)
            gevent.spawn_later(3, self._check_once, name)

    def _check_not_run(self, name: str) -> None:
        run_count = self.journal.runs[name]
        self.verdict.expect(
            not run_count, 'NOT RUN', f'{name} ran {run_count} times'
        )

    def _check_once(self, name: str) -> None:
        run_count = self.journal.runs[name]
        self.verdict.expect(
            run_count <= 1, 'TWICE', f'{name} ran {run_count} times'
        )

    def _check_end(self) -> None:
        """Check that accepted jobs and the last manifest are still served."""
        for number in range(self.trainer.step):
            job = f'j{number}'
            if not self.verdict.count_read(job):
                continue
            status = self.trainer.read(job, 0)
            self.verdict.expect(status == _OK, 'GONE', f'{job}: {status}')
        for daemon in self.daemons[:_ENTRIES]:
            target = f'/v{self._version}/x'
            try:
                status, _, _ = self._call(daemon, 'POST', target, 'end', b'x')
            except UpstreamError as error:
                status = 0
                self.verdict.fail('DOWN', f'{daemon.name} {error}')
            self.verdict.expect(
                status == _OK, 'CONFIG', f'{daemon.name} answers {status}'
            )
        self.verdict.check_orders(self.journal.orders)
        self.verdict.check_orders(self.duty_server.reports)
        self.verdict.check_windows(self.duty_server.windows)
        reported = bool(self.duty_server.windows)
        self.verdict.expect(reported, 'UNREPORTED', 'no window was reported')
        self.verdict.check_teams(self.journal, TEAM)
