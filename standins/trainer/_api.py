"""The trainers' interface as a trainer uses it."""

from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event

from guavagate.exceptions import UpstreamError
from standins import _http
from standins._balancer import Balancer

_PAUSE: Final = 0.2


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample as it is delivered; `versions` are ``(version, tokens)``."""

    sample_id: str
    group_id: str
    text: str
    versions: list[tuple[int, int]]
    score: float | None = None


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """An answer to a pull; no cursor means that nothing was handed out yet."""

    cursor: str | None
    samples: list[Sample]
    follows: str | None = None
    complete: bool = False


class RunApi:
    """Calls any instance, and the next one when a call fails.

    All three calls may be repeated: a step and a version by their names, a
    pull by its cursor.

    Parameters
    ----------
    balancer
        Chooses the instance.
    timeout
        Seconds for one call.
    """

    def __init__(
        self, balancer: Balancer, run: str, token: str, timeout: float
    ) -> None:
        self._balancer = balancer
        self._timeout = timeout
        self._path = f'/v1/runs/{run}'
        self._headers = {'Authorization': f'Bearer {token}'}
        self.refusals = 0

    def publish(self, version: int, stopped: Event) -> bool:
        """Publish a version; tell whether that was confirmed."""
        body = {'version': version}
        return self._insist('versions', body, stopped) is not None

    def submit(self, step: dict[str, Any], stopped: Event) -> bool:
        """Submit a step; tell whether that was confirmed."""
        return self._insist('steps', step, stopped) is not None

    def pull(self, body: dict[str, Any]) -> Batch | None:
        """Pull once; nothing when no whole answer came."""
        answer = self._call('batches', body)
        if answer is None:
            gevent.sleep(_PAUSE)
            return None
        return msgspec.json.decode(answer.body, type=Batch)

    def _insist(
        self, what: str, body: dict[str, Any], stopped: Event
    ) -> _http.Response | None:
        """Repeat a call until it succeeds or the trainer is stopped."""
        while not stopped.is_set():
            answer = self._call(what, body)
            if answer is not None:
                return answer
            stopped.wait(_PAUSE)
        return None

    def _call(self, what: str, body: dict[str, Any]) -> _http.Response | None:
        """Call once."""
        address = self._balancer.choose()
        try:
            answer = _http.send_request(
                address,
                'POST',
                f'{self._path}/{what}',
                body,
                headers=self._headers,
                timeout=self._timeout,
            )
        except UpstreamError:
            return None
        if answer.status >= 300:
            self.refusals += 1
            return None
        return answer
