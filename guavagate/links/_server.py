"""The receiving side: one ROUTER and a bounded number of handler tasks."""

import logging
from collections.abc import Callable
from typing import Final

import gevent
import msgspec
import zmq

from guavagate.exceptions import GuavagateError, LinkError
from guavagate.links._bus import Handler, Message
from guavagate.links._credential import secure_server
from guavagate.links._envelope import (
    WIRE_VERSION,
    Act,
    Envelope,
    encode_error,
    encode_refusal,
)
from guavagate.links._link import MAX_FRAME_BYTES, QUEUE_LIMIT
from guavagate.links._socket import Frames, SocketOwner
from guavagate.models import InstanceId

_LOGGER: Final = logging.getLogger(__name__)

HANDLER_LIMIT: Final = 2000
_OUTBOX_LIMIT: Final = 10_000
_NOTHING: Final = b'\xc0'

_encode: Final = msgspec.msgpack.Encoder().encode
_decode: Final = msgspec.msgpack.Decoder(Envelope).decode


class Server:
    """Hands each message to its kind's handler and returns the reply."""

    def __init__(self, me: InstanceId) -> None:
        self._me = me
        self._handlers: dict[str, tuple[Handler, msgspec.msgpack.Decoder]] = {}
        self._running = 0
        self._owner: SocketOwner | None = None

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Call the handler for each message of this kind."""
        decoder = msgspec.msgpack.Decoder(kind)
        self._handlers[kind.__name__] = (handler, decoder)

    def start(self, socket: zmq.Socket) -> None:
        """Serve on a bound socket."""
        self._owner = SocketOwner(socket, _OUTBOX_LIMIT, self._receive)

    def stop(self, timeout: float) -> None:
        """Close the socket; handlers that still run are not answered."""
        if self._owner is not None:
            self._owner.close()
            self._owner.join(timeout)

    def _receive(self, frames: Frames) -> None:
        try:
            envelope = _decode(frames[-1])
        except msgspec.MsgspecError:
            _LOGGER.warning('dropped an undecodable frame')
            return
        identity = frames[0]
        if envelope.act in {Act.REQUEST, Act.SEND}:
            self._accept(identity, envelope)

    def _accept(self, identity: bytes, envelope: Envelope) -> None:
        entry = self._handlers.get(envelope.kind)
        if entry is None:
            refusal = encode_refusal(
                f'{self._me} has no handler for {envelope.kind}',
                'ask an instance of a release that has one',
            )
            self._answer(identity, envelope, Act.REFUSED, refusal)
            return
        if self._running >= HANDLER_LIMIT:
            refusal = encode_refusal(
                f'{self._me} handles {HANDLER_LIMIT} messages already',
                'retry later or at another instance',
            )
            self._answer(identity, envelope, Act.REFUSED, refusal)
            return
        try:
            message = entry[1].decode(envelope.body)
        except msgspec.MsgspecError as problem:
            refusal = encode_refusal(
                f'{envelope.kind} does not decode: {problem}',
                'add fields only with a default, and never change a type',
            )
            self._answer(identity, envelope, Act.REFUSED, refusal)
            return
        self._running += 1
        gevent.spawn(self._handle, identity, envelope, entry[0], message)

    def _handle(
        self,
        identity: bytes,
        envelope: Envelope,
        handler: Handler,
        message: Message,
    ) -> None:
        try:
            act, body = _run(handler, InstanceId(envelope.sender), message)
        finally:
            self._running -= 1
        self._answer(identity, envelope, act, body)

    def _answer(
        self, identity: bytes, envelope: Envelope, act: Act, body: bytes
    ) -> None:
        if envelope.act != Act.REQUEST or self._owner is None:
            return
        reply = Envelope(
            WIRE_VERSION, act, envelope.id, self._me, '', msgspec.Raw(body)
        )
        self._owner.put([identity, _encode(reply)])


def _run(
    handler: Handler, sender: InstanceId, message: Message
) -> tuple[Act, bytes]:
    try:
        reply = handler(sender, message)
    except GuavagateError as error:
        return Act.ERROR, encode_error(error)
    except Exception as fault:
        _LOGGER.exception('a handler failed on %s', type(message).__name__)
        return Act.ERROR, encode_error(
            LinkError(
                f'the handler failed with {type(fault).__name__}',
                "see the peer's log; the message may have taken effect",
            ),
        )
    return Act.REPLY, _NOTHING if reply is None else _encode(reply)


def bind_server(
    context: zmq.Context, address: str, credential: bytes
) -> zmq.Socket:
    """Return a ROUTER bound to an address."""
    socket = context.socket(zmq.ROUTER)
    socket.setsockopt(zmq.SNDHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.RCVHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    # An answer to a connection that has gone is an error, not a silent loss.
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    secure_server(socket, credential)
    socket.bind(f'tcp://{address}')
    return socket


Resolve = Callable[[InstanceId], str | None]
