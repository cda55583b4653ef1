"""One link: the connection to a peer and what waits for answers on it."""

import dataclasses
import itertools
from collections.abc import Callable
from typing import Final

import msgspec
import zmq
from gevent.event import AsyncResult

from guavagate.clock import Clock
from guavagate.exceptions import LinkError, LinkRefusedError
from guavagate.links._credential import secure_client
from guavagate.links._envelope import (
    WIRE_VERSION,
    Act,
    Envelope,
    decode_error,
)
from guavagate.links._socket import Frames, SocketOwner
from guavagate.models import InstanceId

# Messages waiting for a connection, and in zmq's own queue. A peer that takes
# none is refused work after some two thousand, instead of being buried.
QUEUE_LIMIT: Final = 1000
MAX_FRAME_BYTES: Final = 64_000_000

_encode: Final = msgspec.msgpack.Encoder().encode
_decode: Final = msgspec.msgpack.Decoder(Envelope).decode


@dataclasses.dataclass(slots=True)
class _Waiting:
    """One request without its reply."""

    result: 'AsyncResult[msgspec.Raw]'
    frames: Frames
    since: float
    ticket: int | None = None


class Link:
    """A DEALER connected to one peer.

    Owned by the bus; all methods but `request` return at once.
    """

    def __init__(
        self,
        me: InstanceId,
        peer: InstanceId,
        connect: Callable[[], zmq.Socket],
        clock: Clock,
    ) -> None:
        self._me = me
        self._peer = peer
        self._connect = connect
        self._clock = clock
        self._ids = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}
        self.used_at = clock.now()
        self.heard_at = clock.now()
        self._owner = self._open()

    def request(self, kind: str, body: bytes, timeout: float) -> msgspec.Raw:
        """Send and wait for the reply's body."""
        number = next(self._ids)
        frames = self._frame(Act.REQUEST, number, kind, body)
        entry = _Waiting(AsyncResult(), frames, self._clock.now())
        entry.ticket = self._put(frames)
        self._waiting[number] = entry
        try:
            with self._clock.timeout(timeout, lambda: self._give_up(entry)):
                return entry.result.get()
        finally:
            self._waiting.pop(number, None)

    def send(self, kind: str, body: bytes) -> None:
        """Send one way; a full queue raises `LinkRefusedError`."""
        self._put(self._frame(Act.SEND, 0, kind, body))

    def idle(self) -> bool:
        """Return whether nothing waits for an answer."""
        return not self._waiting

    def close(self) -> None:
        """Close the connection; what waits fails with `LinkError`."""
        self._owner.close()
        self._fail_all()

    def join(self, timeout: float) -> None:
        """Wait until the socket is closed."""
        self._owner.join(timeout)

    def _open(self) -> SocketOwner:
        return SocketOwner(
            self._connect(), QUEUE_LIMIT, self._receive, self._fail_all
        )

    def _frame(self, act: Act, number: int, kind: str, body: bytes) -> Frames:
        envelope = Envelope(
            WIRE_VERSION, act, number, self._me, kind, msgspec.Raw(body)
        )
        return [_encode(envelope)]

    def _put(self, frames: Frames) -> int:
        self.used_at = self._clock.now()
        ticket = self._owner.put(frames)
        if ticket is None:
            raise LinkRefusedError(
                f'the queue to {self._peer} is full',
                'retry later or at another instance',
            )
        return ticket

    def _receive(self, frames: Frames) -> None:
        self.heard_at = self._clock.now()
        envelope = _decode(frames[-1])
        entry = self._waiting.pop(envelope.id, None)
        if entry is None:  # Late: its asker has given up.
            return
        if envelope.act == Act.REPLY:
            entry.result.set(envelope.body)
            return
        entry.result.set_exception(decode_error(envelope.body))

    def _give_up(self, entry: _Waiting) -> Exception:
        return self._fail(entry, 'gave no reply in time')

    def _fail(self, entry: _Waiting, problem: str) -> LinkError:
        if entry.ticket is not None and self._owner.withdraw(entry.ticket):
            return LinkRefusedError(
                f'{self._peer} could not be reached',
                'ask another instance; this one was not given the message',
            )
        return LinkError(
            f'{self._peer} {problem}',
            'find out whether it handled the message before asking again',
        )

    def _fail_all(self) -> None:
        """Fail what waits, when the connection breaks or can't be made."""
        waiting, self._waiting = self._waiting, {}
        for entry in waiting.values():
            entry.result.set_exception(self._fail(entry, 'lost its connection'))


def connect_peer(
    context: zmq.Context, address: str, credential: bytes
) -> zmq.Socket:
    """Return a DEALER that connects to an address.

    With IMMEDIATE, zmq takes a message only when connected: otherwise it
    would queue for a dead peer and send to whatever starts there next.
    """
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.SNDHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.RCVHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.RECONNECT_IVL, 100)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    secure_client(socket, credential)
    socket.connect(f'tcp://{address}')
    return socket
