"""Wire format of messages and errors between instances."""

import enum
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from guavagate.const import ATTR_NOT_RUN
from guavagate.exceptions import GuavagateError, LinkError, LinkRefusedError
from guavagate.helpers.decoding import decode_msgpack, make_msgpack_decoder
from guavagate.models import NotRun

WIRE_VERSION: Final = 1
# Limit of the queue per connection and of zmq's own queue. For a peer that
# accepts no messages, sending fails after about two thousand of them, instead
# of overloading the peer later.
QUEUE_LIMIT: Final = 1000
MAX_FRAME_BYTES: Final = 64_000_000

_PLAIN_TYPES: Final = (str, int, float, bool, type(None))


class EnvelopeType(enum.IntEnum):
    """Type of an envelope; the numbers must not change between releases."""

    REQUEST = 1
    SEND = 2
    REPLY = 3
    ERROR = 4
    REFUSED = 5
    PING = 6
    PONG = 7


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame between two instances.

    Encoded as an array. Add fields only at the end: a release ignores fields
    that it does not know and uses the default of missing ones.

    Parameters
    ----------
    act
        An `EnvelopeType`; a plain number, so that an unknown value decodes and
        the envelope's id can still be answered.
    boot
        Random number of the sending process. A request is resent only to the
        process that may have received it before.
    age
        Seconds since a request was first sent, if it is resent over a new
        connection; negative the first time.
    codec, accepts
        How the body is compressed, and whether the sender can decompress.
    """

    version: int
    act: int
    id: int = 0
    sender: str = ''
    kind: str = ''
    body: msgspec.Raw = msgspec.Raw(b'\xc0')
    boot: int = 0
    age: float = -1
    codec: int = 0
    accepts: int = 0


class ErrorBody(msgspec.Struct, frozen=True):
    """Wire format of an error of `guavagate.exceptions`."""

    kind: str
    problem: str
    remedy: str
    fields: dict[str, str | int | float | bool | None] = {}  # noqa: WPS234


encode_envelope: Final = msgspec.msgpack.Encoder().encode
decode_envelope: Final = make_msgpack_decoder(Envelope)


def encode_error(error: GuavagateError) -> bytes:
    """Return an error in its wire format.

    A handler's own link error becomes a plain `LinkError`. If the refusal of a
    handler's own request were passed on unchanged, the requesting side would
    conclude that the handler never ran.
    """
    kind = type(error).__name__
    if isinstance(error, LinkError):
        kind = LinkError.__name__
    fields = {
        name: value.value if isinstance(value, enum.Enum) else value
        for name, value in vars(error).items()
        if isinstance(value, (*_PLAIN_TYPES, NotRun))
    }
    fields.pop('problem', None)
    fields.pop('remedy', None)
    return msgspec.msgpack.encode(
        ErrorBody(kind, error.problem, error.remedy, fields),
    )


def encode_refusal(problem: str, remedy: str) -> bytes:
    """Return the refusal of a message that was passed to no handler."""
    return msgspec.msgpack.encode(
        ErrorBody(LinkRefusedError.__name__, problem, remedy),
    )


def decode_error(body: bytes | msgspec.Raw) -> GuavagateError:
    """Return the error that a peer raised.

    An error of a class that this release does not know becomes a `LinkError`,
    as does one that can't be read: the peer may have handled the message.
    """
    try:
        return _decode_error(decode_msgpack(body, ErrorBody))
    except ValueError as error:
        return LinkError(
            f'the peer sent an error that can not be read ({error})',
            'find out whether it handled the message before asking again',
        )


def _decode_error(wire: ErrorBody) -> GuavagateError:
    kinds = {
        kind.__name__: kind for kind in _iterate_subclasses(GuavagateError)
    }
    kind = kinds.get(wire.kind, LinkError)
    # Bypass the constructors, whose parameters differ between classes.
    error = kind.__new__(kind)
    error.args = (f'{wire.problem}; {wire.remedy}',)
    vars(error).update(_decode_fields(wire.fields))
    error.problem, error.remedy = wire.problem, wire.remedy
    return error


def _decode_fields(fields: dict[str, Any]) -> dict[str, Any]:
    if ATTR_NOT_RUN in fields:
        return {**fields, ATTR_NOT_RUN: NotRun(fields[ATTR_NOT_RUN])}
    return fields


def _iterate_subclasses(
    kind: type[GuavagateError],
) -> Iterator[type[GuavagateError]]:
    yield kind
    for child in kind.__subclasses__():
        yield from _iterate_subclasses(child)
