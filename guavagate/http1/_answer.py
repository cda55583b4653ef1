"""Connections to upstreams, and the answers that arrive on them."""

import functools
import io
import select
from collections.abc import Callable, Iterator
from typing import Final, Protocol

import h11
from gevent import monkey

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamDisconnectedError, UpstreamError
from guavagate.helpers.numbers import parse_whole_number
from guavagate.http1._answer_head import MAX_HEAD_BYTES
from guavagate.http1._messages import Headers, find_header
from guavagate.http1._turns import EVENTS_PER_TURN, TurnCounter, Turns
from guavagate.http1._upstream_socket import BrokenAnswerError, UpstreamSocket

# Idle timeout assumed where a response has no Keep-Alive header.
IDLE_SECONDS: Final = 10.0
# Share of the idle timeout for which a connection is reused. An upstream closes
# idle connections at its own timeout, and a request that crosses the close is
# lost. Requests that must not be repeated get a new connection.
IDLE_LIMIT_SHARE: Final = 0.9
# A faulty upstream may send bytes without end. This bounds a body that is read
# as a whole, and the parser each chunk's head and the trailer; `_answer_head`
# bounds what precedes the body.
MAX_BODY_BYTES: Final = 16_000_000
# Of the heads of chunks, beside the bytes of such a body.
MAX_FRAMING_BYTES: Final = 16_000_000
# Each part of a body takes the parser as long as 64 KB do. A body of tiny
# chunks would take minutes, so beyond some parts they must have this size on
# average. A token of a text that is sent by itself has some bytes.
MAX_SMALL_PARTS: Final = 65_536
MIN_PART_BYTES: Final = 16
_READ_BYTES: Final = 65_536
# The patched `poll` would let other tasks run and change the list of idle
# connections while it is scanned.
_poll: Final = monkey.get_original('select', 'poll')


class AnswerPool(Protocol):
    """What an answer uses of the pool that its connection belongs to."""

    turns: Turns

    def release(
        self, address: str, connection: 'Connection', answer: 'Answer'
    ) -> None:
        """Take a connection back."""

    def record_reading(self, growth: int) -> None:
        """Record by how many bytes the answers being read have grown."""

    def may_read(self, size: int, limit: int) -> bool:
        """Return whether an answer of a size so far may be read further."""

    def reserve(self, size: int) -> None:
        """Wait until there is memory for an answer of a size, and count it."""


class Connection:
    """A connection to an upstream that carries one request at a time."""

    def __init__(self, sock: UpstreamSocket, clock: Clock) -> None:
        self.sock = sock
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.idle_since = clock.now()
        self.idle_limit = IDLE_SECONDS
        self.is_used = False

    def is_fresh(self, now: float) -> bool:
        """Return whether the idle time is within the upstream's timeout."""
        return self.seconds_left(now) >= 0

    def seconds_left(self, now: float) -> float:
        """Return how long an idle connection stays fresh."""
        return self.idle_since + self.idle_limit * IDLE_LIMIT_SHARE - now

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may carry another request.

        Readable data belongs to no request: it is a second or late response,
        or the upstream's close.
        """
        if not self.is_fresh(now):
            return False
        poller = _poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def close(self) -> None:
        """Close the connection; the upstream abandons a running request."""
        self.sock.close()


class Answer:
    """An upstream's response, read as it arrives.

    Attributes
    ----------
    reused
        Whether its connection has carried another exchange before, whose late
        or extra answer this may be.
    """

    def __init__(
        self, pool: AnswerPool, address: str, connection: Connection
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection: Connection | None = connection
        self.status = 0
        self.headers: Headers = []
        self.complete = False
        self._work = TurnCounter(pool.turns, EVENTS_PER_TURN)
        self._parts = 0
        self._size = 0
        self.reused = connection.is_used
        connection.is_used = True

    def get_header(self, name: bytes) -> str:
        """Return the value of a header; the name is in lower case."""
        return find_header(self.headers, name)

    def read_head(self) -> None:
        """Read the final status and headers, past interim responses."""
        event = self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = self._next_event()
        if not isinstance(event, h11.Response):
            raise self._make_error(f'sent {event!r} for an answer')
        self.status = event.status_code
        self.headers = list(event.headers.raw_items())

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; an incomplete one raises `UpstreamError`."""
        while not self.complete:
            event = self._next_event()
            if isinstance(event, h11.Data):
                self._count_part(len(event.data))
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
            else:
                raise self._make_error(
                    'closed in the middle of its answer', disconnected=True
                )
        self._release()

    def limit_body(self, limit: int = MAX_BODY_BYTES) -> None:
        """Set how much more may be read, beside the heads of chunks."""
        if self._connection is not None:
            self._connection.sock.limit_reading(limit + MAX_FRAMING_BYTES)

    def count_work(self) -> None:
        """Count a piece of work on the body; wait for a turn after a batch.

        An upstream that sends faster than its events are handled would keep
        all other tasks waiting.
        """
        self._work.count()

    def read(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Return the complete body; its memory counts while it is read.

        Raises
        ------
        UpstreamError
            Also if the body has more bytes than the limit, or than there is
            memory for.
        """
        body, release = self.read_counted(limit)
        release()
        return body

    def read_counted(
        self, limit: int = MAX_BODY_BYTES
    ) -> tuple[bytes, Callable[[], None]]:
        """Return the complete body, whose memory counts until it is released.

        Returns
        -------
        The body, and the function that releases its memory. The errors are
        those of `read`.
        """
        declared = parse_whole_number(self.get_header(b'content-length')) or 0
        if declared > limit:
            raise self._make_error('announced more than may be read')
        self.limit_body(limit)
        # Unlike a list of parts, it makes no second copy of the body.
        body = io.BytesIO()
        self._pool.reserve(declared)
        held = declared
        is_complete = False
        try:
            for chunk in self.chunks():
                body.write(chunk)
                growth = body.tell() - held
                if growth <= 0:
                    continue
                self._pool.record_reading(growth)
                held += growth
                if not self._pool.may_read(held, limit):
                    raise self._make_error('sent more than may be read')
            is_complete = True
        finally:
            if held and not is_complete:
                self._pool.record_reading(-held)
        return body.getvalue(), functools.partial(self._release_memory, held)

    def _release_memory(self, size: int) -> None:
        if size:
            self._pool.record_reading(-size)

    def close(self) -> None:
        """Close the connection unless it is back in the pool."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _count_part(self, size: int) -> None:
        self.count_work()
        self._parts += 1
        self._size += size
        small_parts = self._parts - self._size // MIN_PART_BYTES
        if small_parts > MAX_SMALL_PARTS:
            raise self._make_error('sent its body in too many parts')

    def _next_event(self) -> object:
        connection = self._connection
        if connection is None:
            raise self._make_error('was left by us')
        try:
            while True:
                event = connection.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                received = connection.sock.recv(_READ_BYTES)
                connection.http.receive_data(received)
        except OSError as error:
            raise self._make_error(
                str(error) or type(error).__name__,
                disconnected=not isinstance(error, BrokenAnswerError),
            ) from error
        except h11.RemoteProtocolError as error:
            raise self._make_error(
                str(error) or type(error).__name__,
                disconnected=connection.sock.has_ended,
            ) from error

    def _make_error(
        self, problem: str, *, disconnected: bool = False
    ) -> UpstreamError:
        closed_here = self._connection is None
        self.close()
        kind = UpstreamError
        if disconnected and not closed_here:
            kind = UpstreamDisconnectedError
        return kind(
            f'{self._address}: {problem}',
            'check the upstream; whether it ran the request is unknown',
        )

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.release(self._address, connection, self)
