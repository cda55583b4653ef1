"""Callers with a request that crashes samplers, and one beside it."""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import Final

import gevent

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError
from standins.platform.checks import Verdict
from standins.platform.sampler import CRASH_PATH, Journal

_OK: Final = 200
_BESIDE_PATH: Final = '/ask/beside'
_ATTEMPTS: Final = 2
_REPEAT_SECONDS: Final = (1.0, 2.0)
_BESIDE_SECONDS: Final = 0.1
# The fleet has this long to stop a request after its third crash, if nothing
# else is disturbed, and this many repetitions may still reach samplers.
STABLE_SECONDS: Final = 3.0
CRASHES: Final = 3
LATE_REPEATS: Final = 3

# Sends method, target, request id and body to a random entry.
Call = Callable[..., tuple[int, bytes]]


class CrashingCallers:
    """Repeat one request that crashes samplers, and one that does not.

    Parameters
    ----------
    list_faults
        Returns the times of all other faults.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        verdict: Verdict,
        journal: Journal,
        call: Call,
        list_faults: Callable[[], Sequence[float]],
    ) -> None:
        self._clock = clock
        self._random = rng
        self._verdict = verdict
        self._journal = journal
        self._call = call
        self._list_faults = list_faults
        self._numbers = itertools.count()
        self._served_beside_at = float(0)

    @property
    def callers(self) -> list[Callable[[], None]]:
        """Return what each caller runs."""
        return [self._repeat_crashing_request, self._repeat_beside]

    def _repeat_crashing_request(self) -> None:
        """Send the request again and again; each attempt has its own id."""
        while True:
            for _ in range(_ATTEMPTS):
                status = self._send(CRASH_PATH)
                served = status == _OK
                self._verdict.expect(not served, 'CRASH', 'was answered')
            gevent.sleep(self._random.uniform(*_REPEAT_SECONDS))

    def _repeat_beside(self) -> None:
        """Send a harmless request all the time, also beside the other."""
        while True:
            if self._send(_BESIDE_PATH) == _OK:
                self._served_beside_at = self._clock.now()
            gevent.sleep(_BESIDE_SECONDS)

    def check(self) -> None:
        """Check that one request was stopped in time and the other was not."""
        crashes = sorted(self._journal.crashes)
        enough = len(crashes) >= CRASHES
        self._verdict.expect(enough, 'CRASH', f'only {len(crashes)} crashes')
        if not enough:
            return
        late = self._list_late(crashes[CRASHES - 1] + STABLE_SECONDS)
        self._verdict.expect(
            len(late) <= LATE_REPEATS,
            'CRASH',
            f'{len(late)} repetitions reached samplers,'
            f' {len(crashes)} crashes in all',
        )
        age = self._clock.now() - self._served_beside_at
        self._verdict.expect(age < STABLE_SECONDS, 'BESIDE', f'{age:.1f} s ago')

    def _list_late(self, since: float) -> set[str]:
        """Return the ids that reached samplers in undisturbed times."""
        faults = self._list_faults()
        return {
            name
            for at, name in self._journal.crash_arrivals
            if at > since
            and not any(at - STABLE_SECONDS < fault <= at for fault in faults)
        }

    def _send(self, path: str) -> int:
        name = f'c{next(self._numbers)}'
        try:
            status, _ = self._call('POST', path, name, b'the same each time')
        except UpstreamError:
            return 0
        return status
