"""Client of the trainer API."""

from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event

from guavagate.exceptions import UpstreamError
from standins import _http
from standins._balancer import Balancer

_RETRY_SECONDS: Final = 0.2


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One delivered sample; `versions` are ``(version, tokens)`` pairs."""

    sample_id: str
    group_id: str
    text: str
    versions: list[tuple[int, int]]
    score: float | None = None


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a pull; `cursor` is None until a batch was delivered."""

    cursor: str | None
    samples: list[Sample]
    follows: str | None = None
    complete: bool = False


class RunApi:
    """Calls a ready instance, and another one after a failure.

    All three calls are idempotent: the API identifies a step and a version by
    name and a pull by its cursor.

    Parameters
    ----------
    balancer
        Chooses the instance for each call.
    timeout
        Time limit of one call in seconds.
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
        """Publish a version; return whether an instance confirmed it."""
        body = {'version': version}
        return self._call_until_success('versions', body, stopped) is not None

    def submit(self, step: dict[str, Any], stopped: Event) -> bool:
        """Submit a step; return whether an instance confirmed it."""
        return self._call_until_success('steps', step, stopped) is not None

    def pull(self, body: dict[str, Any]) -> Batch | None:
        """Pull once; return None if no complete response came."""
        answer = self._call('batches', body)
        if answer is None:
            gevent.sleep(_RETRY_SECONDS)
            return None
        return msgspec.json.decode(answer.body, type=Batch)

    def _call_until_success(
        self, resource: str, body: dict[str, Any], stopped: Event
    ) -> _http.Response | None:
        """Repeat a call until it succeeds or the trainer is stopped."""
        while not stopped.is_set():
            answer = self._call(resource, body)
            if answer is not None:
                return answer
            stopped.wait(_RETRY_SECONDS)
        return None

    def _call(
        self, resource: str, body: dict[str, Any]
    ) -> _http.Response | None:
        """Call once; return None if the call fails or is refused."""
        address = self._balancer.choose()
        try:
            answer = _http.send_request(
                address,
                'POST',
                f'{self._path}/{resource}',
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
