"""A fault soak: real daemons, faults from outside, promises checked meanwhile.

One seed is one run: its faults, their times and overlaps follow from it. All
processes are on loopback addresses; it ends only those that it started.
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
from standins.platform.duties import Duties
from standins.platform.fleet import REVOKE_SECONDS, Daemon, wait_ended
from standins.platform.manifest import (
    KEY,
    TEAM,
    make_manifest,
    make_passing_key,
)
from standins.platform.proxy import Proxy
from standins.platform.sampler import Journal, Sampler
from standins.platform.store import Store
from standins.platform.trainer import MODEL, Trainer

_HOST: Final = (b'Host', b'soak.example')
_OK: Final = 200
_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_WARM_SECONDS: Final = 6.0
_QUIET_SECONDS: Final = 12.0
_PLANNED_SECONDS: Final = 10.0
_ENTRIES: Final = 3
_WORKERS: Final = 2
_SAMPLERS: Final = 3
_DESKS: Final = 2
# What a planned stop is given, and a little for a busy machine.
STOP_SECONDS: Final = 9


class Soak:
    """One run of one seed.

    Parameters
    ----------
    block
        Third byte of the loopback addresses, so that runs go side by side.
    """

    def __init__(self, seed: int, block: int, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self.clock = SystemClock()
        self.journal = Journal()
        self.verdict = Verdict(self.journal)
        self.faults: list[tuple[float, str]] = []
        self._stopped = False
        self._version = 1
        self._block = block
        self.store = Store(self._place(250, 8000), seed)
        self.duties = Duties(self._place(249, 8000))
        self._passed: list[tuple[float, str]] = []
        self.proxies = [Proxy(self._place(251, 8000), self._place(250, 8000))]
        self.samplers = [
            self._make_sampler(number) for number in range(_SAMPLERS + _DESKS)
        ]
        names = [f'entry-{number}' for number in range(_ENTRIES)]
        names += [f'worker-{number}' for number in range(_WORKERS)]
        self.daemons = [
            Daemon(
                name,
                f'127.0.{block}.{number}',
                self._place(251, 8000),
                folder,
                self._place(249, 8000),
            )
            for number, name in enumerate(names, 1)
        ]
        self._pool = ConnectionPool(self.clock)
        self.trainer = Trainer(
            self.clock, self.random, self.verdict, self.store, self._call_any
        )

    def _place(self, last: int, port: int) -> str:
        return f'127.0.{self._block}.{last}:{port}'

    def _make_sampler(self, number: int) -> Sampler:
        model = MODEL if number < _SAMPLERS else ''
        target = self._place(100 + number, 9000)
        shown = self._place(150 + number, 9000)
        self.proxies.append(Proxy(shown, target))
        service = 'llm' if model else 'desk'
        sampler = Sampler(
            f'i-{number}', service, shown, self.store, self.journal, model
        )
        sampler.listen(target)
        return sampler

    def run(self, seconds: float) -> Verdict:
        """Run for so many seconds, then check what must still be there."""
        self.store.start()
        self.duties.start()
        for start in (
            *(proxy.start for proxy in self.proxies),
            *(sampler.start for sampler in self.samplers),
            *(daemon.start for daemon in self.daemons),
        ):
            start()
        self._configure()
        try:
            gevent.sleep(_WARM_SECONDS)
            tasks = [
                gevent.spawn(run)
                for run in (
                    self._ask,
                    self._ask,
                    self._ask_too_late,
                    self._file,
                    self.trainer.run,
                )
            ]
            self._trouble(seconds)
            self._stopped = True
            self.trainer.stop()
            gevent.sleep(_QUIET_SECONDS)
            gevent.killall(tasks)
            self._check_end()
        finally:
            for daemon in self.daemons:
                daemon.end()
        return self.verdict

    def _configure(self) -> None:
        self._version += 1
        manifest = make_manifest(self._version, MODEL)
        self.store.write('config', 'main', manifest)
        passed = make_passing_key(self._version - 2)
        self._passed.append((self.clock.now(), passed))

    # Faults.

    def _trouble(self, seconds: float) -> None:
        until = self.clock.now() + seconds
        kinds: list[Callable[[], None]] = [
            self._kill,
            self._stop,
            self._pause,
            self._harm_store,
            self._harm_way,
            self._harm_samplers,
            self._restart_sampler,
            self._configure,
        ]
        while self.clock.now() < until:
            gevent.spawn(self.random.choice(kinds))
            gevent.sleep(self.random.uniform(0.3, 2.5))

    def _note(self, what: str, daemon: Daemon | None = None) -> None:
        now = self.clock.now()
        if daemon is None:
            self.faults.append((now, what))
        else:
            daemon.faults.append((now, what))

    def _kill(self) -> None:
        daemon = self.random.choice(self.daemons)
        self._note('kill', daemon)
        if wait_ended(daemon.send(signal.SIGKILL), 5):
            gevent.sleep(self.random.uniform(0.1, 1.5))
            daemon.start()
            self._note('kill', daemon)

    def _stop(self) -> None:
        daemon = self.random.choice(self.daemons)
        self._note('stop', daemon)
        if not wait_ended(daemon.send(signal.SIGTERM), STOP_SECONDS):
            if not daemon.suffered(self.clock.now() - 12) - {'stop'}:
                self.verdict.fail('STOP', f'{daemon.name} outlasted its time')
            wait_ended(daemon.send(signal.SIGKILL), 5)
        daemon.start()

    def _pause(self) -> None:
        daemon = self.random.choice(self.daemons)
        self._note('pause', daemon)
        daemon.send(signal.SIGSTOP)
        gevent.sleep(self.random.uniform(0.5, 4))
        daemon.send(signal.SIGCONT)
        self._note('pause', daemon)

    def _harm_store(self) -> None:
        self._note('store')
        self.store.trouble = self.random.choice(
            ('busy', 'silent', 'lost', 'slow')
        )
        gevent.sleep(self.random.uniform(0.5, 3))
        self.store.trouble = ''
        self._note('store')

    def _harm_way(self) -> None:
        self._note('way')
        proxy = self.random.choice(self.proxies)
        proxy.trouble = self.random.choice(('delay', 'reset', 'silent'))
        gevent.sleep(self.random.uniform(0.3, 2))
        proxy.trouble = ''
        self._note('way')

    def _harm_samplers(self) -> None:
        self._note('samplers')
        for sampler in self.samplers:
            sampler.cut = self.random.choice((0, 0.2))
        gevent.sleep(2)
        for sampler in self.samplers:
            sampler.cut = 0
        self._note('samplers')

    def _restart_sampler(self) -> None:
        self._note('samplers')
        self.random.choice(self.samplers).restart()
        gevent.sleep(1)
        self._note('samplers')

    # Callers.

    def _call(
        self,
        daemon: Daemon,
        method: str,
        target: str,
        name: str,
        body: bytes = b'',
        key: str = KEY,
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

    def _call_any(
        self, method: str, target: str, name: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        status, answer, _ = self._call(self._pick(), method, target, name, body)
        return status, answer

    def _pick(self) -> Daemon:
        return self.random.choice(self.daemons[:_ENTRIES])

    def _ask(self) -> None:
        """Ask what may be repeated; each answer is one's own and whole."""
        while True:
            gevent.sleep(self.random.uniform(0.02, 0.1))
            name = f'a{self.random.getrandbits(48):x}'
            daemon, began = self._pick(), self.clock.now()
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
                whole = body == f'answer to {name}'.encode()
                self.verdict.expect(whole, 'ANSWER', f'{name} {body!r}')

    def _ask_too_late(self) -> None:
        """Ask with a key that was taken away longer ago than its bound."""
        while True:
            gevent.sleep(self.random.uniform(0.05, 0.2))
            before = self.clock.now() - REVOKE_SECONDS
            gone = [key for when, key in self._passed if when < before]
            if not gone:
                continue
            name = f'k{self.random.getrandbits(48):x}'
            with contextlib.suppress(UpstreamError):
                self._call(
                    self._pick(), 'POST', f'/ask/{name}', name, b'x', gone[-1]
                )
            gevent.spawn_later(3, self._check_revoked, name)

    def _check_revoked(self, name: str) -> None:
        ran = self.journal.runs[name]
        self.verdict.expect(not ran, 'REVOKED', f'{name} ran {ran} times')

    def _check_cut(
        self, daemon: Daemon, began: float, error: UpstreamError
    ) -> None:
        """Check that a planned stop alone has cut no request."""
        since = began - _PLANNED_SECONDS
        others = {what for when, what in self.faults if when >= since}
        mine = daemon.suffered(since)
        if mine <= {'stop'} and not others:
            self.verdict.fail('CUT', f'{daemon.name} {mine} {error}')

    def _file(self) -> None:
        """File what may run once; a refusal means that it has not."""
        while True:
            gevent.sleep(self.random.uniform(0.05, 0.2))
            name = f'f{self.random.getrandbits(48):x}'
            status = 0
            with contextlib.suppress(UpstreamError):
                status, _, _ = self._call(
                    self._pick(), 'POST', f'/file/{name}', name, b'x'
                )
            if status in _NOT_RUN:
                gevent.spawn_later(3, self._check_not_run, name)
            gevent.spawn_later(3, self._check_once, name)

    def _check_not_run(self, name: str) -> None:
        ran = self.journal.runs[name]
        self.verdict.expect(not ran, 'NOT RUN', f'{name} ran {ran} times')

    def _check_once(self, name: str) -> None:
        ran = self.journal.runs[name]
        self.verdict.expect(ran <= 1, 'TWICE', f'{name} ran {ran} times')

    def _check_end(self) -> None:
        """All that was accepted and listed is there, at every entry."""
        for number in range(self.trainer.step):
            job = f'j{number}'
            if not self.verdict.listed(job):
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
        self.verdict.check_orders(self.duties.reports)
        self.verdict.check_windows(self.duties.windows)
        reported = bool(self.duties.windows)
        self.verdict.expect(reported, 'UNREPORTED', 'no window was reported')
        self.verdict.check_teams(self.journal, TEAM)
