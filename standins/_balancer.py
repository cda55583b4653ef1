"""Load balancer over the ready instances in the platform's list."""

import itertools
from typing import Final

import gevent

from guavagate.exceptions import UpstreamError
from standins import _http

CHECK_INTERVAL_SECONDS: Final = 0.5


class Balancer:
    """Distributes requests over the ready instances in turn.

    Parameters
    ----------
    platform
        Address of the object API.
    credential
        Credential for the object API.
    """

    def __init__(self, platform: str, credential: str) -> None:
        self._platform = platform
        self._headers = {'Authorization': f'Bearer {credential}'}
        self._addresses: list[str] = []
        self._ready: list[str] = []
        self._counter = itertools.count()
        self._task = gevent.spawn(self._watch)

    def choose(self, avoid: str = '') -> str:
        """Return a ready instance, if possible another one than `avoid`."""
        while not self._ready:
            gevent.sleep(CHECK_INTERVAL_SECONDS / 5)
        others = [
            address for address in self._ready if address != avoid
        ] or self._ready
        return others[next(self._counter) % len(others)]

    def close(self) -> None:
        """Stop the periodic check."""
        self._task.kill()

    def _watch(self) -> None:
        """Check the list and the readiness of each instance periodically."""
        while True:
            self._refresh_addresses()
            addresses = self._addresses
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

    def _refresh_addresses(self) -> None:
        """Read the list of live instances; keep the last one in an outage."""
        try:
            answer = _http.send_request(
                self._platform, 'GET', '/v1/instances', headers=self._headers
            )
        except UpstreamError:
            return
        if answer.status == 200:
            self._addresses = [
                entry['http_address']
                for entry in answer.decode()['instances']
                if entry['state'] == 'live'
            ]
