"""A small balancer: instances from the platform's list that are ready."""

import itertools
from typing import Final

import gevent

from guavagate.exceptions import UpstreamError
from standins import _http

CHECK_INTERVAL_SECONDS: Final = 0.5


class Balancer:
    """Spreads requests over the instances that are ready.

    Parameters
    ----------
    platform
        The object API's address.
    credential
        The platform's credential.
    """

    def __init__(self, platform: str, credential: str) -> None:
        self._platform = platform
        self._headers = {'Authorization': f'Bearer {credential}'}
        self._known: list[str] = []
        self._ready: list[str] = []
        self._turn = itertools.count()
        self._task = gevent.spawn(self._watch)

    def choose(self, avoid: str = '') -> str:
        """Return a ready instance, another than the given one if possible."""
        while not self._ready:
            gevent.sleep(CHECK_INTERVAL_SECONDS / 5)
        others = [one for one in self._ready if one != avoid] or self._ready
        return others[next(self._turn) % len(others)]

    def close(self) -> None:
        """Stop looking."""
        self._task.kill()

    def _watch(self) -> None:
        """Look after the list and each instance's readiness."""
        while True:
            self._look_up()
            addresses = self._known
            checks = [
                gevent.spawn(_http.is_ready, address) for address in addresses
            ]
            gevent.joinall(checks)
            self._ready = [
                address
                for address, check in zip(addresses, checks, strict=True)
                if check.value
            ]
            gevent.sleep(CHECK_INTERVAL_SECONDS)

    def _look_up(self) -> None:
        """Learn the live instances; an outage leaves those known."""
        try:
            answer = _http.send_request(
                self._platform, 'GET', '/v1/instances', headers=self._headers
            )
        except UpstreamError:
            return
        if answer.status == 200:
            self._known = [
                entry['http_address']
                for entry in answer.decode()['instances']
                if entry['state'] == 'live'
            ]
