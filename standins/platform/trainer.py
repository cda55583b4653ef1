"""Trainer of the soak test: submits steps, reads and deletes them."""

import base64
import random
from collections.abc import Callable
from typing import Any, Final

import gevent
import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError
from standins.platform.checks import Verdict
from standins.platform.manifest import BOUND_JOBS_PATH, JOBS_PATH
from standins.platform.store import Store
from standins.platform.topology import make_bound_name

MODEL: Final = 'm0'
_OK: Final = 200
_ACCEPTED: Final = 202

# Sends method, target, request id and body to a random entry.
Call = Callable[..., tuple[int, bytes]]


class Trainer:
    """Submits steps one after the other and checks each page that it reads."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        verdict: Verdict,
        store: Store,
        call: Call,
    ) -> None:
        self.step = 0
        self._clock = clock
        self._random = rng
        self._verdict = verdict
        self._store = store
        self._call = call
        self._stopped = False

    def stop(self) -> None:
        """Stop submitting steps."""
        self._stopped = True

    def run(self) -> None:
        """Submit steps and read each until it is complete or its time is up."""
        version = 1
        while not self._stopped:
            job = f'j{self.step}'
            bound = bool(self.step % 2)
            items = {f'{job}-{number}' for number in range(12)}
            if bound:
                items = set(map(make_bound_name, items))
            self._verdict.record_submission(job, items, max(version - 1, 1))
            path = BOUND_JOBS_PATH if bound else JOBS_PATH
            if self._submit(job, sorted(items), max(version - 1, 1), path):
                self._poll_results(job, self._clock.now() + 8)
                self._delete_job(job)
            self.step += 1
            version += 1
            record = {'model': MODEL, 'version': version}
            self._store.write('versions', MODEL, record)

    def _submit(
        self, job: str, items: list[str], oldest: int, path: str
    ) -> bool:
        body = msgspec.json.encode(
            {
                'step': self.step,
                'model': MODEL,
                'min-version': oldest,
                'target-groups': 3,
                'items': [
                    {
                        'id': item,
                        'path': f'{path}{item}',
                        'body': base64.b64encode(item.encode()).decode(),
                        'group-id': f'{job}-{number // 4}',
                        'scorer': {
                            'id': f'w-{item}',
                            'host': 'soak.example',
                            'path': f'/ask/{item}',
                            'body': 'AP8=',
                        },
                    }
                    for number, item in enumerate(items)
                ],
            }
        )
        while not self._stopped:
            try:
                status, _ = self._call('POST', f'{path}{job}', job, body)
            except UpstreamError:
                status = 0
            if status == _ACCEPTED:
                return True
            gevent.sleep(0.3)
        return False

    def _poll_results(self, job: str, until: float) -> None:
        while self._clock.now() < until and self._verdict.count_read(job) < 12:
            self.read(
                job, self._random.randint(0, self._verdict.count_read(job))
            )
            gevent.sleep(0.3)

    def read(self, job: str, after: int) -> int:
        """Read results from a position on; return the status, 0 on failure."""
        try:
            status, body = self._call('GET', f'/lots/{job}?after={after}', job)
        except UpstreamError:
            return 0
        if status == _OK:
            page: dict[str, Any] = msgspec.json.decode(body)
            self._verdict.check_page(job, after, page)
        self._verdict.expect(status != 404, 'LOST', f'{job} is not known')
        return status

    def _delete_job(self, job: str) -> None:
        try:
            self._call('DELETE', f'/lots/{job}', job)
        except UpstreamError:
            return
