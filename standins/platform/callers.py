"""Callers of the soak test, and what they check of each answer."""

import contextlib
import random
from collections.abc import Callable, Sequence
from typing import Final

import gevent

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.http1 import ConnectionPool, Headers, Request
from guavagate.platform import const
from standins.platform.checks import Verdict
from standins.platform.fleet import REVOKE_SECONDS, Daemon
from standins.platform.manifest import PERMANENT_KEY
from standins.platform.sampler import Journal

_HOST: Final = (b'Host', b'soak.example')
_OK: Final = 200
_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_PLANNED_STOP_SECONDS: Final = 10.0


class Entries:
    """Sends requests to the entries; connections are kept."""

    def __init__(
        self, clock: Clock, rng: random.Random, entries: Sequence[Daemon]
    ) -> None:
        self._random = rng
        self._entries = entries
        self._pool = ConnectionPool(clock)

    def call(
        self,
        daemon: Daemon,
        method: str,
        target: str,
        name: str,
        body: bytes = b'',
        key: str = PERMANENT_KEY,
    ) -> tuple[int, bytes]:
        """Return the status and body of an entry's answer."""
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
            return answer.status, answer.read()

    def call_any(
        self, method: str, target: str, name: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Return the status and body of any entry's answer."""
        return self.call(self.pick(), method, target, name, body)

    def pick(self) -> Daemon:
        """Return any entry."""
        return self._random.choice(self._entries)


class PlainCallers:
    """Send plain requests with checked answers.

    Parameters
    ----------
    faults
        Time and kind of the faults that belong to no process.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        verdict: Verdict,
        journal: Journal,
        entries: Entries,
        faults: Sequence[tuple[float, str]],
    ) -> None:
        self._clock = clock
        self._random = rng
        self._verdict = verdict
        self._journal = journal
        self._entries = entries
        self._faults = faults
        # Keys, and when the configuration that revokes them was written.
        self.revoked_keys: list[tuple[float, str]] = []

    @property
    def callers(self) -> list[Callable[[], None]]:
        """Return what each caller runs."""
        return [
            self._send_idempotent_requests,
            self._send_idempotent_requests,
            self._send_revoked_keys,
            self._send_non_idempotent_requests,
        ]

    def _send_idempotent_requests(self) -> None:
        """Send idempotent requests and check that each answer is theirs."""
        while True:
            gevent.sleep(self._random.uniform(0.02, 0.1))
            name = f'a{self._random.getrandbits(48):x}'
            daemon, began = self._entries.pick(), self._clock.now()
            try:
                status, body = self._entries.call(
                    daemon, 'POST', f'/ask/{name}', name, b'x'
                )
            except UpstreamNotStartedError:
                continue
            except UpstreamError as error:
                self._check_cut(daemon, began, error)
                continue
            if status == _OK:
                matches = body == f'answer to {name}'.encode()
                self._verdict.expect(matches, 'ANSWER', f'{name} {body!r}')

    def _send_revoked_keys(self) -> None:
        """Send requests with a key whose revocation bound has passed."""
        while True:
            gevent.sleep(self._random.uniform(0.05, 0.2))
            before = self._clock.now() - REVOKE_SECONDS
            expired = [key for when, key in self.revoked_keys if when < before]
            if not expired:
                continue
            name = f'k{self._random.getrandbits(48):x}'
            with contextlib.suppress(UpstreamError):
                self._entries.call(
                    self._entries.pick(),
                    'POST',
                    f'/ask/{name}',
                    name,
                    b'x',
                    expired[-1],
                )
            gevent.spawn_later(3, self._check_revoked, name)

    def _check_revoked(self, name: str) -> None:
        run_count = self._journal.runs[name]
        self._verdict.expect(
            not run_count, 'REVOKED', f'{name} ran {run_count} times'
        )

    def _check_cut(
        self, daemon: Daemon, began: float, error: UpstreamError
    ) -> None:
        """Report a cut request unless another fault explains it."""
        since = began - _PLANNED_STOP_SECONDS
        other_faults = {what for when, what in self._faults if when >= since}
        own_faults = daemon.list_faults_since(since)
        if own_faults <= {'stop'} and not other_faults:
            self._verdict.fail('CUT', f'{daemon.name} {own_faults} {error}')

    def _send_non_idempotent_requests(self) -> None:
        """Send requests that may run once; a refused one must not have run."""
        while True:
            gevent.sleep(self._random.uniform(0.05, 0.2))
            name = f'f{self._random.getrandbits(48):x}'
            status = 0
            with contextlib.suppress(UpstreamError):
                status, _ = self._entries.call(
                    self._entries.pick(), 'POST', f'/file/{name}', name, b'x'
                )
            if status in _NOT_RUN:
                gevent.spawn_later(3, self._check_not_run, name)
            gevent.spawn_later(3, self._check_once, name)

    def _check_not_run(self, name: str) -> None:
        run_count = self._journal.runs[name]
        self._verdict.expect(
            not run_count, 'NOT RUN', f'{name} ran {run_count} times'
        )

    def _check_once(self, name: str) -> None:
        run_count = self._journal.runs[name]
        self._verdict.expect(
            run_count <= 1, 'TWICE', f'{name} ran {run_count} times'
        )
