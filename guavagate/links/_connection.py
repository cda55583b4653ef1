"""One TCP connection to a peer, with heartbeats."""

from collections.abc import Callable

import msgspec
import zmq

from guavagate.clock import Clock
from guavagate.links._compression import ZLIB
from guavagate.links._credential import secure_client
from guavagate.links._envelope import (
    MAX_FRAME_BYTES,
    QUEUE_LIMIT,
    WIRE_VERSION,
    Envelope,
    EnvelopeType,
    decode_envelope,
    encode_envelope,
)
from guavagate.links._socket import Frames, SocketOwner
from guavagate.util.traffic import Traffic


class Connection:
    """A DEALER socket that is connected to a peer.

    Parameters
    ----------
    on_receive
        Called with this connection, each envelope and the size of its frame
        in bytes; must not block.
    on_loss
        Called with this connection when it breaks or can't be established.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        clock: Clock,
        traffic: Traffic,
        on_receive: Callable[['Connection', Envelope, int], None],
        on_loss: Callable[['Connection'], None],
    ) -> None:
        self._clock = clock
        self._on_receive = on_receive
        self._on_loss = on_loss
        self._pinged_at: float | None = None
        self.last_message_at = clock.now()
        self.boot = 0
        self.accepts = 0
        self._owner = SocketOwner(
            socket, QUEUE_LIMIT, traffic, self._receive, self._handle_loss
        )

    def put(self, frames: Frames) -> int | None:
        """Queue a message; return its ticket, or None if the queue is full."""
        return self._owner.put(frames)

    def withdraw(self, ticket: int) -> bool:
        """Remove a queued message; return False if zmq has it already."""
        return self._owner.withdraw(ticket)

    def ping(self) -> None:
        """Request a heartbeat unless a request is already pending."""
        if self._pinged_at is None:
            self._pinged_at = self._clock.now()
            frame = encode_envelope(
                Envelope(WIRE_VERSION, EnvelopeType.PING, accepts=ZLIB)
            )
            self._owner.put([frame])

    def unanswered_seconds(self) -> float:
        """Return for how many seconds the current ping is unanswered."""
        if self._pinged_at is None:
            return 0
        return self._clock.now() - self._pinged_at

    def close(self) -> None:
        """Close the socket."""
        self._owner.close()

    def join(self, timeout: float) -> None:
        """Wait until the socket is closed."""
        self._owner.join(timeout)

    def _handle_loss(self) -> None:
        # A ping that was lost with the connection says nothing about the next
        # connection.
        self._pinged_at = None
        self._on_loss(self)

    def _receive(self, frames: Frames) -> None:
        # Any message shows that the connection works.
        self.last_message_at = self._clock.now()
        self._pinged_at = None
        try:
            envelope = decode_envelope(frames[-1])
        except msgspec.MsgspecError:
            return
        self.boot = envelope.boot or self.boot
        self.accepts = envelope.accepts
        self._on_receive(self, envelope, len(frames[-1]))


def connect_peer(
    context: zmq.Context, address: str, credential: bytes
) -> zmq.Socket:
    """Return a DEALER socket that connects to an address.

    With IMMEDIATE, zmq accepts a message only while connected. Otherwise it
    would queue messages for a dead peer and send them to the next process that
    listens at this address.
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
