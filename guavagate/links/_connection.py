"""One TCP connection to a peer, and when it was last heard."""

from collections.abc import Callable

import msgspec
import zmq

from guavagate.clock import Clock
from guavagate.links._credential import secure_client
from guavagate.links._envelope import (
    MAX_FRAME_BYTES,
    QUEUE_LIMIT,
    WIRE_VERSION,
    Act,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from guavagate.links._socket import Frames, SocketOwner
from guavagate.util.traffic import Traffic


class Connection:
    """A connected DEALER.

    Parameters
    ----------
    received
        Called with this connection and each envelope, without blocking.
    lost
        Called with this connection when it breaks or can't be made.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        clock: Clock,
        traffic: Traffic,
        received: Callable[['Connection', Envelope], None],
        lost: Callable[['Connection'], None],
    ) -> None:
        self._clock = clock
        self._received = received
        self._lost = lost
        self._pinged_at: float | None = None
        self.heard_at = clock.now()
        self.boot = 0
        self._owner = SocketOwner(
            socket, QUEUE_LIMIT, traffic, self._receive, self._lose
        )

    def put(self, frames: Frames) -> int | None:
        """Queue a message; nothing when the queue is full."""
        return self._owner.put(frames)

    def withdraw(self, ticket: int) -> bool:
        """Take a message back; false when zmq has it already."""
        return self._owner.withdraw(ticket)

    def ping(self) -> None:
        """Ask for a heartbeat unless one is asked for already."""
        if self._pinged_at is None:
            self._pinged_at = self._clock.now()
            frame = encode_envelope(Envelope(WIRE_VERSION, Act.PING))
            self._owner.put([frame])

    def unanswered(self) -> float:
        """Return for how many seconds a ping has had no answer."""
        if self._pinged_at is None:
            return 0
        return self._clock.now() - self._pinged_at

    def close(self) -> None:
        """Close the socket."""
        self._owner.close()

    def join(self, timeout: float) -> None:
        """Wait until the socket is closed."""
        self._owner.join(timeout)

    def _lose(self) -> None:
        # A ping that went down with the connection says nothing of the next.
        self._pinged_at = None
        self._lost(self)

    def _receive(self, frames: Frames) -> None:
        # Whatever arrives shows that the connection works.
        self.heard_at = self._clock.now()
        self._pinged_at = None
        try:
            envelope = decode_envelope(frames[-1])
        except msgspec.MsgspecError:
            return
        self.boot = envelope.boot or self.boot
        self._received(self, envelope)


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
