"""The receiving side: a ROUTER socket and a limited number of handlers."""

import logging
from collections.abc import Callable
from typing import Final

import gevent
import msgspec
import zmq

from guavagate.clock import Clock
from guavagate.events import fleet, write
from guavagate.exceptions import GuavagateError, LinkError
from guavagate.helpers.decoding import make_msgpack_decoder
from guavagate.links._bus import Handler, Message
from guavagate.links._compression import (
    ZLIB,
    compress_body,
    decode_body,
    is_large,
)
from guavagate.links._credential import secure_server
from guavagate.links._envelope import (
    MAX_FRAME_BYTES,
    QUEUE_LIMIT,
    WIRE_VERSION,
    Envelope,
    EnvelopeType,
    decode_envelope,
    encode_envelope,
    encode_error,
    encode_refusal,
)
from guavagate.links._handled_requests import HandledRequest, HandledRequests
from guavagate.links._message_traffic import UNKNOWN_KIND, MessageTraffic
from guavagate.links._socket import Frames, SocketOwner
from guavagate.models import InstanceId
from guavagate.util.traffic import Traffic

_LOGGER: Final = logging.getLogger(__name__)

HANDLER_LIMIT: Final = 2000
_OUTBOX_LIMIT: Final = 10_000
_EMPTY_BODY: Final = b'\xc0'

_Decode = Callable[[bytes | msgspec.Raw], Message]

_encode: Final = msgspec.msgpack.Encoder().encode


class Server:
    """Passes each message to the handler of its kind and sends the reply."""

    def __init__(
        self,
        me: InstanceId,
        boot: int,
        clock: Clock,
        messages: MessageTraffic,
    ) -> None:
        self._me = me
        self._boot = boot
        self._clock = clock
        self._messages = messages
        self._handlers: dict[str, tuple[Handler, _Decode]] = {}
        self._handled_requests = HandledRequests()
        self._running = 0
        self._owner: SocketOwner | None = None

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler for messages of this kind."""
        decoder = make_msgpack_decoder(kind)
        self._handlers[kind.__name__] = (handler, decoder)

    def start(self, socket: zmq.Socket, traffic: Traffic) -> None:
        """Serve on a bound socket."""
        self._owner = SocketOwner(socket, _OUTBOX_LIMIT, traffic, self._receive)

    def stop(self, timeout: float) -> None:
        """Close the socket; replies of handlers that still run are lost."""
        if self._owner is not None:
            self._owner.close()
            self._owner.join(timeout)

    def _receive(self, frames: Frames) -> None:
        try:
            envelope = decode_envelope(frames[-1])
        except msgspec.MsgspecError:
            write(_LOGGER, fleet.FRAME_DROPPED, size=len(frames[-1]))
            return
        identity = frames[0]
        if envelope.act == EnvelopeType.PING:
            # Answered without a new task: a heartbeat shows that the
            # connection works, however busy the handlers are.
            self._put(identity, self._wrap(envelope.id, EnvelopeType.PONG))
            return
        sender, kind = InstanceId(envelope.sender), self._name_kind(envelope)
        self._messages.record_received(sender, kind, len(frames[-1]))
        if envelope.act == EnvelopeType.SEND:
            self._accept(identity, envelope)
        elif envelope.act == EnvelopeType.REQUEST:
            self._accept_once(identity, envelope)

    def _accept_once(self, identity: bytes, envelope: Envelope) -> None:
        """Handle a request unless it is resent and was already accepted."""
        handled = self._handled_requests.find((envelope.boot, envelope.id))
        if handled is not None:
            handled.identity = identity
            if handled.done:
                self._repeat_reply(envelope, handled)
            return
        sent_at = self._clock.now() - envelope.age
        if envelope.age >= 0 and self._handled_requests.may_have_dropped(
            sent_at
        ):
            uncertain = encode_error(_make_uncertain_error(self._me))
            self._answer(identity, envelope, EnvelopeType.ERROR, uncertain)
            return
        self._accept(identity, envelope)

    def _accept(self, identity: bytes, envelope: Envelope) -> None:
        """Start a task for the handler, or refuse the message."""
        handler, decoder = self._handlers.get(envelope.kind, (None, None))
        if handler is None or decoder is None:
            self._refuse(
                identity,
                envelope,
                f'{self._me} has no handler for {envelope.kind}',
                'ask an instance of a release that has one',
            )
            return
        if self._running >= HANDLER_LIMIT:
            self._refuse(
                identity,
                envelope,
                f'{self._me} handles {HANDLER_LIMIT} messages already',
                'retry later or at another instance',
            )
            return
        try:
            message = decoder(decode_body(envelope))
        except msgspec.MsgspecError as problem:
            self._refuse(
                identity,
                envelope,
                f'{envelope.kind} does not decode: {problem}',
                'add fields only with a default, and never change a type',
            )
            return
        self._running += 1
        handled = HandledRequest(identity, 0)
        if envelope.act == EnvelopeType.REQUEST:
            key = (envelope.boot, envelope.id)
            handled = self._handled_requests.add(
                key, identity, self._clock.now()
            )
        gevent.spawn(self._handle, handled, envelope, handler, message)

    def _handle(
        self,
        handled: HandledRequest,
        envelope: Envelope,
        handler: Handler,
        message: Message,
    ) -> None:
        try:
            act, body = _run_handler(
                handler, InstanceId(envelope.sender), message
            )
        finally:
            self._running -= 1
        if envelope.act != EnvelopeType.REQUEST:
            return
        packed = None
        if act == EnvelopeType.REPLY:
            packed = self._compress(envelope, body)
        frame = self._wrap(envelope.id, act, body, packed)
        self._handled_requests.record_reply(handled, frame)
        self._reply(handled.identity, envelope, frame)

    def _repeat_reply(
        self, envelope: Envelope, handled: HandledRequest
    ) -> None:
        if handled.reply is not None:
            self._reply(handled.identity, envelope, handled.reply)
            return
        uncertain = encode_error(_make_uncertain_error(self._me))
        self._answer(handled.identity, envelope, EnvelopeType.ERROR, uncertain)

    def _refuse(
        self, identity: bytes, envelope: Envelope, problem: str, remedy: str
    ) -> None:
        if envelope.act == EnvelopeType.REQUEST:
            refusal = encode_refusal(problem, remedy)
            self._answer(identity, envelope, EnvelopeType.REFUSED, refusal)

    def _answer(
        self,
        identity: bytes,
        envelope: Envelope,
        act: EnvelopeType,
        body: bytes,
    ) -> None:
        self._reply(identity, envelope, self._wrap(envelope.id, act, body))

    def _reply(self, identity: bytes, envelope: Envelope, frame: bytes) -> None:
        """Send a frame in reply to a request, and count it."""
        peer, kind = InstanceId(envelope.sender), self._name_kind(envelope)
        self._messages.record_sent(peer, kind, len(frame))
        self._put(identity, frame)

    def _name_kind(self, envelope: Envelope) -> str:
        """Return the kind to count a message under."""
        known = envelope.kind in self._handlers
        return envelope.kind if known else UNKNOWN_KIND

    def _compress(self, request: Envelope, body: bytes) -> bytes | None:
        """Return the compressed body of a reply, or None to send it plain."""
        if not request.accepts or not is_large(body):
            return None
        far = self._messages.is_between_zones(InstanceId(request.sender))
        return compress_body(body) if far else None

    def _wrap(
        self,
        number: int,
        act: EnvelopeType,
        body: bytes = _EMPTY_BODY,
        packed: bytes | None = None,
    ) -> bytes:
        return encode_envelope(
            Envelope(
                WIRE_VERSION,
                act,
                number,
                self._me,
                '',
                msgspec.Raw(packed or body),
                self._boot,
                codec=ZLIB if packed else 0,
                accepts=ZLIB,
            )
        )

    def _put(self, identity: bytes, frame: bytes) -> None:
        if self._owner is not None:
            self._owner.put([identity, frame])


def _make_uncertain_error(me: InstanceId) -> LinkError:
    return LinkError(
        f'{me} may have handled the message and keeps no answer',
        'find out whether it did before asking again',
    )


def _run_handler(
    handler: Handler, sender: InstanceId, message: Message
) -> tuple[EnvelopeType, bytes]:
    try:
        reply = handler(sender, message)
    except GuavagateError as error:
        return EnvelopeType.ERROR, encode_error(error)
    except Exception as fault:
        kind = type(message).__name__
        write(_LOGGER, fleet.HANDLER_FAILED, kind=kind, sender=sender)
        _LOGGER.exception('Handler failed on %s', kind)
        return EnvelopeType.ERROR, encode_error(
            LinkError(
                f'the handler failed with {type(fault).__name__}',
                "see the peer's log; the message may have taken effect",
            ),
        )
    return EnvelopeType.REPLY, _EMPTY_BODY if reply is None else _encode(reply)


def bind_server(
    context: zmq.Context, address: str, credential: bytes
) -> zmq.Socket:
    """Return a ROUTER socket that is bound to an address."""
    socket = context.socket(zmq.ROUTER)
    socket.setsockopt(zmq.SNDHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.RCVHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    # Sending to a closed connection raises an error instead of being ignored.
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    secure_server(socket, credential)
    socket.bind(f'tcp://{address}')
    return socket


Resolve = Callable[[InstanceId], str | None]
