"""Socket of a connection to an upstream, which decides what belongs to answers.

All clients of this project read answers through it, whatever parser they use.
The bytes of a head are checked before a parser gets them, a reset is never
reported as the end of an answer, and an upstream that sends without end neither
fills the memory nor occupies the processor.
"""

import math
from typing import Any, Final

from gevent import socket

from guavagate.http1._answer_head import HeadChecker, MalformedHeadError
from guavagate.http1._turns import TurnCounter, Turns

# An upstream that sends faster than it is read fills each read, and no read
# waits. Other tasks run after a few such reads.
FULL_READ_BYTES: Final = 4096
READS_PER_TURN: Final = 4


class BrokenAnswerError(OSError):
    """The upstream sent bytes that are no answer, or more than may be read."""


class UpstreamSocket(socket.socket):
    """A connection that carries one exchange at a time.

    Parameters
    ----------
    sock
        The connected socket, which this one takes over.

    Attributes
    ----------
    is_broken
        Whether writing a request failed. The kernel reports a reset only once:
        the reader would then see a plain end of the connection, which also
        ends an answer without a length.
    has_ended
        Whether the upstream has closed the connection.
    """

    def __init__(self, sock: socket.socket, turns: Turns) -> None:
        super().__init__(
            sock.family, sock.type, sock.proto, fileno=sock.detach()
        )
        self.is_broken = False
        self.has_ended = False
        self._head = HeadChecker()
        self._bytes_left = math.inf
        self._reading = TurnCounter(turns, READS_PER_TURN)

    def begin_exchange(self) -> None:
        """Expect the head of the answer to a new request."""
        self._head = HeadChecker()
        self._bytes_left = math.inf

    def limit_reading(self, size: int) -> None:
        """Set how many more bytes may be read in this exchange."""
        self._bytes_left = size

    def sendall(self, *args: Any) -> None:
        """Send a part of a request, and record a failure."""
        try:
            super().sendall(*args)
        except OSError:
            self.is_broken = True
            raise

    def recv(self, *args: Any) -> bytes:
        """Return what arrives next; nothing if the upstream has closed.

        Raises
        ------
        BrokenAnswerError
            It is no head of an answer, or more than may be read.
        OSError
            The connection was reset, perhaps while the request was written.
        """
        received: bytes = super().recv(*args)
        self.has_ended = not received
        if self.has_ended and self.is_broken:
            raise ConnectionResetError('reset during the request')
        if len(received) >= FULL_READ_BYTES:
            self._reading.count()
        self._bytes_left -= len(received)
        if self._bytes_left < 0:
            raise BrokenAnswerError('sent more than may be read')
        try:
            self._head.feed(received)
        except MalformedHeadError as error:
            raise BrokenAnswerError(str(error)) from error
        return received
