"""Client for the platform's object store."""

from typing import Any, Final
from urllib.parse import quote

import msgspec

from guavagate.exceptions import (
    StoreConflictError,
    StoreUnavailableError,
)
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.lenient import decode_leniently
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.integrations.object_api import Priority, RetryingClient
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
)
from guavagate.models import Revision
from guavagate.platform.const import MILLIS
from guavagate.ports.store import (
    StoreChange,
    StoredObject,
    WatchCompactedError,
)

_UNREADABLE: Final = UnreadableObjects()
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
_CREATE: Final = Revision(0)
# Allows for answers that take sixty times the usual few milliseconds.
CALL_SECONDS: Final = 1.0
DEADLINE_SECONDS: Final = 2.5
_WATCH_GRACE_SECONDS: Final = 1.5


class _Metadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int | None = None


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _NewObject(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw


class _List(msgspec.Struct, rename='kebab'):
    store_revision: int
    items: list[msgspec.Raw] = []
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct, rename='kebab'):
    store_revision: int
    events: list[_Event] = []


# Within how many lists and objects of an answer the contents of objects lie.
_SPEC_NESTING: Final[dict[type, int]] = {_Object: 1, _List: 3, _Events: 4}


class PlatformStore:
    """Stores objects under ``kind/name``; the value is the ``spec``."""

    def __init__(self, client: RetryingClient) -> None:
        self.client = client

    def get(self, path: str) -> StoredObject | None:
        """Return the object, or `None`."""
        answer = self._call('GET', _make_target(path))
        if answer.status == _NOT_FOUND:
            return None
        return _to_stored(path, _decode(_require_ok(answer), _Object))

    def list_under(
        self, prefix: str, after: str = ''
    ) -> tuple[list[StoredObject], Revision]:
        """Return all objects of a kind, and the store's revision."""
        objects: list[StoredObject] = []
        first = Revision(0)
        while True:
            query = f'?after={quote(after, safe="")}' if after else ''
            answer = self._call('GET', f'{_make_target(prefix)}{query}')
            page = _decode(_require_ok(answer), _List)
            # The watch starts here and so reports changes during later pages.
            first = first or Revision(page.store_revision)
            read = _decode_readable(prefix, page.items)
            objects += [
                _to_stored(f'{prefix}/{each.metadata.name}', each)
                for each in read
            ]
            if not page.has_more:
                return objects, first
            if not read or read[-1].metadata.name == after:
                # A list without its other pages would seem to lack the rest.
                raise _make_malformed_error('a page that leads to no other')
            after = read[-1].metadata.name

    def put(
        self, path: str, value: bytes, expected: Revision | None
    ) -> Revision:
        """Write if the revision is as expected; 0 creates the object."""
        kind, _, name = path.partition('/')
        revision = None if expected == _CREATE else expected
        body = msgspec.json.encode(
            _NewObject(_Metadata(name, revision), msgspec.Raw(value))
        )
        if expected == _CREATE:
            answer = self._call('POST', _make_target(kind), body)
        else:
            answer = self._call('PUT', _make_target(path), body)
            if answer.status == _NOT_FOUND and expected is None:
                return self.put(path, value, _CREATE)
        return _read_new_revision(path, answer)

    def put_status(self, path: str, value: dict[str, Any]) -> None:
        """Replace an object's status."""
        name = path.partition('/')[2]
        body = {'metadata': {'name': name}, 'status': value}
        answer = self._call(
            'PUT', f'{_make_target(path)}/status', msgspec.json.encode(body)
        )
        _require_ok(answer)

    def delete(self, path: str, expected: Revision | None) -> None:
        """Delete if the revision is as expected; ignore a missing object."""
        query = '' if expected is None else f'?revision={expected}'
        answer = self._call('DELETE', f'{_make_target(path)}{query}')
        if answer.status != _NOT_FOUND:
            _read_new_revision(path, answer)

    def watch(
        self, prefix: str, since: Revision, timeout: float
    ) -> tuple[list[StoreChange], Revision]:
        """Wait for changes after a revision; return none on a timeout."""
        milliseconds = round(timeout * MILLIS)
        target = f'{_make_target(prefix)}?watch={since}&wait-ms={milliseconds}'
        answer = self._call(
            'GET', target, timeout=timeout + _WATCH_GRACE_SECONDS, deadline=0
        )
        if answer.status == _GONE:
            raise WatchCompactedError(prefix)
        body = _decode(_require_ok(answer), _Events)
        changes = [
            _to_change(prefix, read, each.deleted)
            for each in body.events
            for read in _decode_readable(prefix, [each.object])
        ]
        return changes, Revision(max(body.store_revision, since))

    def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout: float = CALL_SECONDS,
        deadline: float = DEADLINE_SECONDS,
    ) -> Answer:
        call = Call(method=method, path=target, body=body, timeout=timeout)
        return self.client.call(call, Priority.RECORDS, deadline)


def _make_target(path: str) -> str:
    return f'/objects/{quote(path)}'


def _require_ok(answer: Answer) -> Answer:
    if answer.status != _OK:
        raise StoreUnavailableError(
            f'the store answered {answer.status}: {answer.body[:200]!r}',
            'see the log; the store does not support this call',
            may_be_written=False,
        )
    return answer


def _read_new_revision(path: str, answer: Answer) -> Revision:
    if answer.status == _CONFLICT:
        raise StoreConflictError(
            f'{path} does not have the expected revision',
            'read it again and retry',
            _to_stored(path, _decode(answer, _Object)),
        )
    if answer.status == _NOT_FOUND:
        raise StoreConflictError(f'{path} does not exist', 'read it again')
    written = _decode(_require_ok(answer), _Object)
    return Revision(written.metadata.revision or 0)


def _decode_readable(prefix: str, items: list[msgspec.Raw]) -> list[_Object]:
    """Return the readable objects; an unreadable one hides no other."""
    read = []
    for raw in items:
        try:
            read.append(decode_json(raw, _Object))
        except msgspec.MsgspecError as error:
            _UNREADABLE.report(prefix, str(error))
    return read


def _decode(answer: Answer, kind: type[Any]) -> Any:
    try:
        return decode_leniently(answer.body, kind, _SPEC_NESTING[kind])
    except msgspec.MsgspecError as error:
        raise _make_malformed_error(str(error)) from error


def _make_malformed_error(problem: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        f'the store sent a malformed answer ({problem})',
        'check which server listens at the address of the store',
    )


def _to_stored(path: str, stored: _Object) -> StoredObject:
    revision = Revision(stored.metadata.revision or 0)
    return StoredObject(path, bytes(stored.spec), revision)


def _to_change(prefix: str, read: _Object, deleted: bool) -> StoreChange:
    stored = _to_stored(f'{prefix}/{read.metadata.name}', read)
    value = None if deleted else stored.value
    return StoreChange(stored.path, value, stored.version)
