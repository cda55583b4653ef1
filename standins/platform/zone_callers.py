"""Callers bound to a region, and bursts of requests to samplers."""

import random
from collections.abc import Callable
from typing import Final

import gevent

from guavagate.exceptions import UpstreamError
from standins.platform.callers import Entries
from standins.platform.checks import Verdict
from standins.platform.manifest import BOUND_PATH, BURST_PATH
from standins.platform.topology import make_bound_name

_OK: Final = 200
_BOUND_SECONDS: Final = (0.05, 0.2)
_BURST_SECONDS: Final = (1.0, 2.5)
# Without a limit, a burst brings more to each of the samplers at once than a
# cold one may get in a second.
BURST_REQUESTS: Final = 30


class ZoneCallers:
    """Send requests whose places or rates are bounded; all are idempotent."""

    def __init__(
        self, rng: random.Random, verdict: Verdict, entries: Entries
    ) -> None:
        self._random = rng
        self._verdict = verdict
        self._entries = entries
        self._served = {BOUND_PATH: 0, BURST_PATH: 0}

    @property
    def callers(self) -> list[Callable[[], None]]:
        """Return what each caller runs."""
        return [self._send_bound_requests, self._send_bursts]

    def check(self) -> None:
        """Check that not everything was refused."""
        for path, served in self._served.items():
            self._verdict.expect(served > 0, 'REFUSED', f'all of {path}')

    def _send_bound_requests(self) -> None:
        while True:
            gevent.sleep(self._random.uniform(*_BOUND_SECONDS))
            self._send(BOUND_PATH, make_bound_name(self._draw_name()))

    def _send_bursts(self) -> None:
        while True:
            gevent.sleep(self._random.uniform(*_BURST_SECONDS))
            burst = [
                gevent.spawn(self._send, BURST_PATH, f'b{self._draw_name()}')
                for _ in range(BURST_REQUESTS)
            ]
            gevent.joinall(burst)

    def _send(self, path: str, name: str) -> None:
        try:
            status, body = self._entries.call_any(
                'POST', f'{path}{name}', name, b'x'
            )
        except UpstreamError:
            return
        if status == _OK:
            self._served[path] += 1
            matches = body == f'answer to {name}'.encode()
            self._verdict.expect(matches, 'ANSWER', f'{name} {body!r}')

    def _draw_name(self) -> str:
        return f'{self._random.getrandbits(48):x}'
