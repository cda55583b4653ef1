"""Implements the store port with the platform's object API."""

import logging
import random
from collections.abc import Callable
from typing import Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from guavagate.clock import Clock
from guavagate.events import fleet, write
from guavagate.exceptions import (
    StoreConflictError,
    StoreUnavailableError,
)
from guavagate.helpers.decoding import decode_json
from guavagate.integrations.object_api import const
from guavagate.integrations.object_api._known_versions import KnownVersions
from guavagate.integrations.object_api._retrying_client import RetryingClient
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
    ListBody,
    Priority,
    Transport,
    WatchBody,
    WrittenBody,
)
from guavagate.models import Revision
from guavagate.ports.store import (
    StoreChange,
    StoredObject,
    WatchCompactedError,
)

_LOGGER: Final = logging.getLogger(__name__)

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
# Time after a watch's timeout within which its answer must arrive.
_WATCH_GRACE_SECONDS: Final = 2.0

_PRIORITIES: Final = (
    ('partitions/', Priority.RECORDS),
    ('partition-blobs-', Priority.RECORDS),
    ('leases/', Priority.RECORDS),
    ('settings/', Priority.SETTINGS),
)

Body = TypeVar('Body')


class ObjectApi:
    """The platform's object API as an `ObjectStore`.

    Parameters
    ----------
    transport
        Makes one call; see `make_http_transport`.
    fleet_size
        Returns how many instances share the platform's rates.
    rng
        Source of the jitter.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        fleet_size: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        self._client = RetryingClient(
            transport, clock, fleet_size, rng or random.Random()
        )
        self._known_versions = KnownVersions()

    def is_down(self) -> bool:
        """Return whether calls are rejected because the platform is down."""
        return self._client.is_down()

    def get(self, path: str) -> StoredObject | None:
        """Return the object or `None`; never a version older than known."""
        answer = self._read(_make_target(path), find_priority(path))
        if answer.status == _NOT_FOUND:
            self._confirm_missing(path)
            return None
        _require_status(answer, _OK)
        version = answer.version
        if version is None or self._known_versions.is_old(path, version):
            raise _make_stale_error(path)
        self._known_versions.record(path, version)
        return StoredObject(path, answer.body, version)

    def list_under(
        self, prefix: str, after: str = ''
    ) -> tuple[list[StoredObject], Revision]:
        """Return all objects under a prefix and the revision of the list."""
        query = urlencode({'prefix': prefix})
        answer = self._read(f'/v1/objects?{query}', find_priority(prefix))
        _require_status(answer, _OK)
        body = _decode(answer, ListBody)
        if self._known_versions.is_old_list(body.revision):
            raise _make_stale_error(prefix)
        self._known_versions.record_revision(body.revision)
        objects = []
        for each in body.objects:
            self._known_versions.record(each.path, each.version)
            if after and each.path <= f'{prefix}/{after}':
                continue
            value = bytes(each.value)
            objects.append(StoredObject(each.path, value, each.version))
        return objects, body.revision

    def put(
        self, path: str, value: bytes, expected: Revision | None
    ) -> Revision:
        """Write if the version is as expected; 0 expects no object."""
        answer = self._write('PUT', path, value, expected)
        version = _decode(answer, WrittenBody).version
        self._known_versions.record(path, version)
        return version

    def delete(self, path: str, expected: Revision | None) -> None:
        """Delete the object if its version is as expected."""
        answer = self._write('DELETE', path, b'', expected)
        version = _decode(answer, WrittenBody).version
        self._known_versions.record(path, version, present=False)

    def watch(
        self, prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        """Wait for changes after a revision; return none on a timeout."""
        query = urlencode(
            {'prefix': prefix, 'since': since, 'timeout': timeout}
        )
        answer = self._read(
            f'/v1/watch?{query}',
            find_priority(prefix),
            timeout + _WATCH_GRACE_SECONDS,
        )
        if answer.status == _GONE:
            raise WatchCompactedError(prefix)
        _require_status(answer, _OK)
        body = _decode(answer, WatchBody)
        changes = [
            StoreChange(each.path, each.value, each.version)
            for each in body.changes
            if not self._known_versions.is_old(each.path, each.version)
        ]
        for change in changes:
            present = change.value is not None
            self._known_versions.record(
                change.path, change.version, present=present
            )
        return changes, Revision(max(body.revision, since))

    def _read(
        self,
        target: str,
        priority: Priority,
        timeout: float = const.CALL_SECONDS,
    ) -> Answer:
        call = Call(method='GET', path=target, timeout=timeout)
        deadline = max(timeout, const.DEADLINE_SECONDS)
        return self._client.call(call, priority, deadline)

    def _write(
        self, method: str, path: str, value: bytes, expected: Revision | None
    ) -> Answer:
        headers = {}
        if expected is not None:
            headers[const.HEADER_EXPECTED] = str(expected)
        call = Call(
            method=method,
            path=_make_target(path),
            body=value,
            headers=headers,
            timeout=const.CALL_SECONDS,
        )
        answer = self._client.call(
            call, find_priority(path), const.DEADLINE_SECONDS
        )
        if answer.status == _CONFLICT:
            self._record_conflict(path, answer)
            raise StoreConflictError(
                f'{path} has another version than {expected}',
                'read it and decide again',
            )
        _require_status(answer, _OK)
        return answer

    def _record_conflict(self, path: str, answer: Answer) -> None:
        current = _decode(answer, WrittenBody).version
        if current:
            self._known_versions.record(path, current)

    def _confirm_missing(self, path: str) -> None:
        """Raise an error if a "not found" answer may be stale.

        The answer carries no revision, so a list, which does, is read too.
        """
        if not self._known_versions.is_present(path):
            return
        found, revision = self.list_under(path)
        if any(each.path == path for each in found):
            raise _make_stale_error(path)
        self._known_versions.record(path, revision, present=False)


def find_priority(path: str) -> Priority:
    """Return the priority of calls for a path."""
    for prefix, priority in _PRIORITIES:
        if path.startswith(prefix):
            return priority
    return Priority.STATUS


def _make_target(path: str) -> str:
    return f'/v1/objects/{quote(path)}'


def _require_status(answer: Answer, status: int) -> None:
    if answer.status != status:
        raise StoreUnavailableError(
            f'the platform answered {answer.status}',
            'check the credentials file, and that values are under 1 MB',
            may_be_written=False,
        )


def _decode(answer: Answer, kind: type[Body]) -> Body:
    try:
        return decode_json(answer.body, kind)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(
            f'the platform sent what is no answer ({error})',
            'check what the object API address leads to',
        ) from error


def _make_stale_error(path: str) -> StoreUnavailableError:
    write(_LOGGER, fleet.STORE_STALE, path=path)
    return StoreUnavailableError(
        f'the platform answered for {path} from an old copy',
        'ask again later; nothing older than what was seen is taken',
        may_be_written=False,
    )
