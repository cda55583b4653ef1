"""Creates objects with a known outcome in a store that may lose answers."""

from typing import Any, Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import StoreConflictError, StoreUnavailableError
from guavagate.helpers.decoding import decode_json
from guavagate.ports.store import ObjectStore, StoredObject

RETRY_SECONDS: Final = 0.1
_MISSING: Final = 0


class NotWrittenError(Exception):
    """The object was not written and will not be."""


class MaybeWrittenError(Exception):
    """The object may have been written or may still be written."""


def create(
    store: ObjectStore,
    clock: Clock,
    path: str,
    value: bytes,
    limit: float,
) -> StoredObject | None:
    """Create an object; return a different one that already exists, or None.

    Repeating a create is safe: an existing object with the same content counts
    as created, whichever attempt wrote it and whenever it arrived.

    Parameters
    ----------
    value
        JSON.
    limit
        Seconds during which failed attempts are retried.

    Raises
    ------
    NotWrittenError
        No attempt reached the store.
    MaybeWrittenError
        An attempt got no answer and no later one clarified its outcome.
    """
    give_up_at = clock.now() + limit
    uncertain = False
    while True:
        try:
            store.put(path, value, expected=_MISSING)  # type: ignore[arg-type]
        except StoreConflictError as conflict:
            other = conflict.current or store.get(path)
            if other is not None:
                return None if _is_same_json(other.value, value) else other
        except StoreUnavailableError as error:
            uncertain = uncertain or error.may_be_written
            if clock.now() + RETRY_SECONDS >= give_up_at:
                raise _make_write_error(uncertain=uncertain) from error
            clock.sleep(RETRY_SECONDS)
        else:
            return None


def _is_same_json(one: bytes, other: bytes) -> bool:
    """Return whether two JSON texts have equal content."""
    if one == other:
        return True
    try:
        return bool(decode_json(one, Any) == decode_json(other, Any))
    except msgspec.MsgspecError:
        return False  # Another writer's object, which can't be read.


def _make_write_error(*, uncertain: bool) -> Exception:
    return MaybeWrittenError() if uncertain else NotWrittenError()
