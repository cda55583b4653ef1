"""What goes over the wire between instances, and errors in it."""

import enum
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from guavagate.const import ATTR_NOT_RUN
from guavagate.exceptions import GuavagateError, LinkError, LinkRefusedError
from guavagate.models import NotRun

WIRE_VERSION: Final = 1
# Messages waiting for a connection, and in zmq's own queue. A peer that takes
# none is refused work after some two thousand, instead of being buried.
QUEUE_LIMIT: Final = 1000
MAX_FRAME_BYTES: Final = 64_000_000

_PLAIN: Final = (str, int, float, bool, type(None))


class Act(enum.IntEnum):
    """What an envelope is; numbers stay what they are between releases."""

    REQUEST = 1
    SEND = 2
    REPLY = 3
    ERROR = 4
    REFUSED = 5
    PING = 6
    PONG = 7


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame between two instances.

    An array, with fields added at the end only: a release ignores those it
    does not know and takes the default of those that are missing.

    Parameters
    ----------
    act
        An `Act`; kept a plain number so that a later one can be refused by
        id rather than lost as undecodable.
    boot
        Drawn by each process at its start. A request is only ever repeated
        to the process that may remember it.
    age
        Seconds since it was first sent when a request is repeated over a
        new connection; negative the first time.
    """

    version: int
    act: int
    id: int = 0
    sender: str = ''
    kind: str = ''
    body: msgspec.Raw = msgspec.Raw(b'\xc0')
    boot: int = 0
    age: float = -1


class ErrorBody(msgspec.Struct, frozen=True):
    """An error of `guavagate.exceptions` on its way to the asker."""

    kind: str
    problem: str
    remedy: str
    fields: dict[str, str | int | float | bool | None] = {}  # noqa: WPS234


encode_envelope: Final = msgspec.msgpack.Encoder().encode
decode_envelope: Final = msgspec.msgpack.Decoder(Envelope).decode


def encode_error(error: GuavagateError) -> bytes:
    """Return an error as it travels.

    A handler's own link error becomes a plain `LinkError`: passed on as it
    is, a refusal of its onward request would tell the asker that the
    handler never ran.
    """
    kind = type(error).__name__
    if isinstance(error, LinkError):
        kind = LinkError.__name__
    fields = {
        name: value.value if isinstance(value, enum.Enum) else value
        for name, value in vars(error).items()
        if isinstance(value, (*_PLAIN, NotRun))
    }
    fields.pop('problem', None)
    fields.pop('remedy', None)
    return msgspec.msgpack.encode(
        ErrorBody(kind, error.problem, error.remedy, fields),
    )


def encode_refusal(problem: str, remedy: str) -> bytes:
    """Return the refusal of a message that no handler has seen."""
    return msgspec.msgpack.encode(
        ErrorBody(LinkRefusedError.__name__, problem, remedy),
    )


def decode_error(body: bytes | msgspec.Raw) -> GuavagateError:
    """Return the error that a peer raised.

    One whose class this release does not know becomes a `LinkError`: the
    peer may have handled the message.
    """
    wire = msgspec.msgpack.decode(body, type=ErrorBody)
    kinds = {kind.__name__: kind for kind in _walk(GuavagateError)}
    kind = kinds.get(wire.kind, LinkError)
    # Not through the constructors: they differ from class to class.
    error = kind.__new__(kind)
    error.args = (f'{wire.problem}; {wire.remedy}',)
    vars(error).update(_restore(wire.fields))
    error.problem, error.remedy = wire.problem, wire.remedy
    return error


def _restore(fields: dict[str, Any]) -> dict[str, Any]:
    if ATTR_NOT_RUN in fields:
        return {**fields, ATTR_NOT_RUN: NotRun(fields[ATTR_NOT_RUN])}
    return fields


def _walk(kind: type[GuavagateError]) -> Iterator[type[GuavagateError]]:
    yield kind
    for child in kind.__subclasses__():
        yield from _walk(child)
