"""The object API's protocol, as it is on the wire."""

import enum
from collections.abc import Callable

import msgspec

from guavagate.models import Revision


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One call; `timeout` in seconds covers the whole answer."""

    method: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = {}
    timeout: float


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    body: bytes = b''
    version: Revision | None = None
    retry_after: float = 0


Transport = Callable[[Call], Answer]


class NotSentError(Exception):
    """No connection was made, so the platform has not seen the call."""


class NoAnswerError(Exception):
    """The platform may have acted on the call."""


class DirectRouteLostError(NoAnswerError):
    """The way failed while the call waited; there may be another one."""


class Priority(enum.IntEnum):
    """Whose calls go first when the rate or the platform is short."""

    RECORDS = 0
    SETTINGS = 1
    STATUS = 2


class WrittenBody(msgspec.Struct, frozen=True):
    """What answers a write, or a conflict."""

    version: Revision


class ObjectBody(msgspec.Struct, frozen=True):
    """One object of a list; the value is base64."""

    path: str
    value: bytes
    version: Revision


class ListBody(msgspec.Struct, frozen=True):
    """All objects under a prefix."""

    revision: Revision
    objects: list[ObjectBody]


class ChangeBody(msgspec.Struct, frozen=True):
    """One change that a watch reports."""

    path: str
    value: bytes | None
    version: Revision


class WatchBody(msgspec.Struct, frozen=True):
    """What a watch reports."""

    revision: Revision
    changes: list[ChangeBody]
