"""Speaks to the object API: versions, conditional updates, watches."""

from pathlib import Path
from typing import Final
from urllib.parse import quote, urlsplit

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import (
    StoreConflictError,
    StoreUnavailableError,
    UpstreamError,
)
from guavagate.integrations._http import Connections
from guavagate.models import Revision
from guavagate.ports.store import (
    StoreChange,
    StoredObject,
    WatchCompactedError,
)
from guavagate.settings import PlatformSettings

CALL_TIMEOUT: Final = 3.0
WATCH_MARGIN: Final = 2.0


class _Listing(msgspec.Struct):
    revision: Revision
    objects: list[StoredObject]


class _Changes(msgspec.Struct):
    revision: Revision
    changes: list[StoreChange]


class _Written(msgspec.Struct):
    version: Revision


class HttpObjectStore:
    """Implements `ObjectStore`, one call at a time, without retries."""

    def __init__(self, address: str, credential: str, clock: Clock) -> None:
        self._address = address
        self._headers = {'Authorization': f'Bearer {credential}'}
        self._connections = Connections(clock)

    def get(self, path: str) -> StoredObject | None:
        """Return the object, or nothing."""
        status, data, version = self._call('GET', f'objects/{quote(path)}')
        if status == 404:
            return None
        self._check(status)
        return StoredObject(path, data, Revision(int(version)))

    def list_under(self, prefix: str) -> tuple[list[StoredObject], Revision]:
        """Return all objects under a prefix and the revision of the list."""
        status, data, _ = self._call(
            'GET', f'objects?prefix={quote(prefix, safe="")}'
        )
        self._check(status)
        listing = msgspec.json.decode(data, type=_Listing)
        return listing.objects, listing.revision

    def put(
        self, path: str, value: bytes, expected: Revision | None
    ) -> Revision:
        """Write if the object's version is as expected."""
        status, data, _ = self._call(
            'PUT', f'objects/{quote(path)}', value, expected
        )
        self._check(status)
        return msgspec.json.decode(data, type=_Written).version

    def delete(self, path: str, expected: Revision | None) -> None:
        """Delete under the same condition."""
        status, _, _ = self._call(
            'DELETE', f'objects/{quote(path)}', b'', expected
        )
        self._check(status)

    def watch(
        self, prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        """Wait for changes after a revision."""
        route = (
            f'watch?prefix={quote(prefix, safe="")}'
            f'&since={since}&timeout={timeout:g}'
        )
        status, data, _ = self._call(
            'GET', route, timeout=timeout + WATCH_MARGIN
        )
        if status == 410:
            raise WatchCompactedError
        self._check(status)
        changes = msgspec.json.decode(data, type=_Changes)
        return changes.changes, changes.revision

    def _call(
        self,
        method: str,
        route: str,
        body: bytes = b'',
        expected: Revision | None = None,
        timeout: float = CALL_TIMEOUT,
    ) -> tuple[int, bytes, str]:
        headers = dict(self._headers)
        if expected is not None:
            headers['X-Expected-Version'] = str(expected)
        try:
            answer = self._connections.send(
                self._address,
                method,
                f'/v1/{route}',
                body=body,
                headers=headers,
                timeout=timeout,
            )
            data = self._connections.read(self._address, answer, timeout)
        except UpstreamError as error:
            raise StoreUnavailableError(
                error.problem, 'read back to learn whether a write took effect'
            ) from error
        return answer.status_code, data, str(answer.get('x-version') or 0)

    def _check(self, status: int) -> None:
        if status == 409:
            raise StoreConflictError(
                'the object has another version', 'read it again, then decide'
            )
        if status >= 300:
            raise StoreUnavailableError(
                f'the object API answered {status}', 'try again later'
            )


def make_store(settings: PlatformSettings, clock: Clock) -> HttpObjectStore:
    """Return the store that the platform settings name."""
    credential = ''
    if settings.credentials_file:
        credential = Path(settings.credentials_file).read_text().strip()
    address = urlsplit(settings.object_api).netloc
    return HttpObjectStore(address, credential, clock)
