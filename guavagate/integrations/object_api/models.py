"""Messages of the object API protocol."""

import enum
from collections.abc import Callable

import msgspec

from guavagate.models import Revision


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call; `timeout` in seconds covers the complete answer."""

    method: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = {}
    timeout: float


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer."""

    status: int
    body: bytes = b''
    version: Revision | None = None
    retry_after: float = 0


Transport = Callable[[Call], Answer]


class NotSentError(Exception):
    """The platform has not run the call, which may be repeated."""


class NoAnswerError(Exception):
    """No answer arrived; the platform may have run the call."""


class DirectRouteLostError(NoAnswerError):
    """The direct route failed during the call; a peer may reach the store."""


class Priority(enum.IntEnum):
    """Priority of a call when the call rate is limited; lower goes first."""

    RECORDS = 0
    SETTINGS = 1
    STATUS = 2


class WrittenBody(msgspec.Struct, frozen=True):
    """The response to a write, or to a conflict."""

    version: Revision


class ObjectBody(msgspec.Struct, frozen=True):
    """An object in a list; the value is sent in base64."""

    path: str
    value: bytes
    version: Revision


class ListBody(msgspec.Struct, frozen=True):
    """All objects under a prefix."""

    revision: Revision
    objects: list[ObjectBody]


class ChangeBody(msgspec.Struct, frozen=True):
    """A change that a watch reports."""

    path: str
    value: bytes | None
    version: Revision


class WatchBody(msgspec.Struct, frozen=True):
    """The changes that a watch reports."""

    revision: Revision
    changes: list[ChangeBody]
