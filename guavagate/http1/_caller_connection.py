"""A caller's connection, read ahead to detect disconnects."""

import contextlib
import math
import select
import struct
from collections.abc import Callable
from typing import Final

import h11
import msgspec
from gevent import monkey, socket
from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.http1._caller_writer import STREAM_BUFFER_BYTES, CallerWriter
from guavagate.http1._memory import ConnectionAccount, UnlimitedAccount
from guavagate.http1._sockets import (
    CALLER_RECEIVE_BYTES,
    CALLER_SEND_BYTES,
    limit_unacknowledged,
)
from guavagate.http1._turns import (
    EVENTS_PER_TURN,
    READS_PER_TURN,
    TurnCounter,
    Turns,
)

_READ_BYTES: Final = 32_768
# Most bytes buffered ahead of the request being served; reading then pauses.
_READ_AHEAD_BYTES: Final = 32_768
# A longer head may have a thousand lines, which take milliseconds to parse.
_LONG_HEAD_BYTES: Final = 4096
# A caller that is still sending when its request was answered would lose the
# answer if its connection were closed at once: the kernel resets a connection
# that is closed with unread data. It has this long to read the answer.
LINGER_SECONDS: Final = 2.0
# A caller that has just connected sends its request a round trip later, so a
# stopping server keeps the connection open for this long.
FIRST_REQUEST_GRACE_SECONDS: Final = 0.3
# `struct linger`: on, with no time to send the rest.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
# The patched `poll` would let other tasks run during the check.
_poll: Final = monkey.get_original('select', 'poll')


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits on requests of callers, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class MalformedBodyError(Exception):
    """A part of the request body is not valid HTTP/1.1."""


class SlowBodyError(Exception):
    """No more of the request body arrived within the idle timeout."""


class _LingerExpiredError(Exception):
    """The caller is still sending after the linger time."""


def _get_no_end() -> float:
    return math.inf


class CallerConnection:
    """A caller's connection and its HTTP/1.1 state."""

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        limits: ServerLimits,
        is_closing: Callable[[], bool],
        turns: Turns | None = None,
        get_end: Callable[[], float] = _get_no_end,
    ) -> None:
        self._sock = sock
        self.account: ConnectionAccount = UnlimitedAccount()
        turns = turns or Turns(clock)
        self._parsing = TurnCounter(turns, EVENTS_PER_TURN)
        self._reading = TurnCounter(turns, READS_PER_TURN)
        self._turns = turns
        self.clock = clock
        self._grace_ends_at = clock.now() + FIRST_REQUEST_GRACE_SECONDS
        self.is_closing = is_closing
        self.get_end = get_end
        self._limits = limits
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.disconnected = Event()
        self.on_disconnect: Callable[[], None] | None = None
        self.writer = CallerWriter(
            sock, clock, limits.idle_timeout, self._abandon
        )
        self.writer.on_size = self._hold_answer
        self._data_arrived = Event()
        self._read_resumed = Event()
        self._reader: Task = clock.spawn(self._read)

    def next_event(self) -> object:
        """Return the next h11 event; blocks until it has arrived."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.disconnected.is_set():
                return h11.ConnectionClosed()
            self._wait_for_more()

    def next_head_event(self) -> object:
        """Return the next event, which should be the head of a request."""
        self._parsing.reset()
        self._reading.reset()
        if len(self.http.trailing_data[0]) > _LONG_HEAD_BYTES:
            self._turns.wait()
        return self.next_event()

    def next_body_event(self) -> object:
        """Return the next event of a body, within the idle timeout.

        Raises
        ------
        MalformedBodyError
            The body is not valid HTTP/1.1.
        """
        self._parsing.count()
        idle = self._limits.idle_timeout
        try:
            with self.clock.timeout(idle, SlowBodyError):
                return self.next_event()
        except h11.RemoteProtocolError as error:
            if self.disconnected.is_set():
                return h11.ConnectionClosed()
            raise MalformedBodyError(str(error)) from error

    def discard_body(self) -> bool:
        """Discard the received part of a body; return whether it is complete.

        A handler may respond before it has read the body. While part of the
        body is outstanding, the connection cannot carry another request.
        """
        with contextlib.suppress(h11.RemoteProtocolError):
            # Not more than one batch of work: the connection is closed then.
            for _ in range(EVENTS_PER_TURN):
                if self.http.their_state is not h11.SEND_BODY:
                    break
                if self.http.next_event() is h11.NEED_DATA:
                    break
        return self.http.their_state is h11.DONE

    def wait_for_data(self) -> None:
        """Block until data of a request arrives or the caller disconnects."""
        while not self.disconnected.is_set() and not self.http.trailing_data[0]:
            self._wait_for_more()

    def begin_request(self) -> None:
        """Detect a lost caller soon, while nothing is sent to it."""
        with contextlib.suppress(OSError):
            limit_unacknowledged(self._sock, 0)

    def begin_answer(self) -> None:
        """Allow the caller to read nothing for the idle timeout."""
        with contextlib.suppress(OSError):
            limit_unacknowledged(self._sock, self._limits.idle_timeout)

    def write(self, event: h11.Event) -> None:
        """Send an event of the response; block until the kernel has it all."""
        data = self.http.send(event)
        if data:
            self.writer.write(data)

    def write_ahead(self, event: h11.Event) -> None:
        """Send an event of the response; block only on a full buffer."""
        data = self.http.send(event)
        if data:
            self.writer.write(data, STREAM_BUFFER_BYTES)

    def reject(
        self, status: int, problem: str, *extra: tuple[bytes, bytes]
    ) -> None:
        """Respond to a request of which nothing has run, and close."""
        if self.http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        content = f'{problem}\n'.encode()
        headers = [
            (b'Content-Length', str(len(content)).encode()),
            (b'Connection', b'close'),
            *extra,
        ]
        self.write(h11.Response(status_code=status, headers=headers))
        self.write(h11.Data(data=content))
        self.write(h11.EndOfMessage())

    def is_idle(self) -> bool:
        """Return whether no data of a request is buffered or expected."""
        if self.http.trailing_data[0] or self.clock.now() < self._grace_ends_at:
            return False
        poller = _poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def close_idle(self) -> None:
        """Close an idle connection and wake the task that waits on it."""
        self._reader.kill(block=False)
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        self._sock.close()
        self._record_disconnect()

    def cut_off(self) -> None:
        """Reset the connection, and discard what waits to be sent."""
        self.writer.cut_off()
        self.reset_at_once()
        self._record_disconnect()

    def reads_no_chunks(self) -> bool:
        """Return whether the caller speaks HTTP/1.0."""
        return bytes(self.http.their_http_version or b'') < b'1.1'

    def shut_down(self) -> None:
        """Shut down both directions, even within a response."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def close(self) -> None:
        """Close the connection and end its reader task."""
        self._reader.kill()
        self.writer.close()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            if self._may_be_sending():
                self._discard_rest()
        self._sock.close()

    def _may_be_sending(self) -> bool:
        """Return whether the caller may still send an answered request."""
        if self.disconnected.is_set():
            return False
        return self.http.their_state in {h11.SEND_BODY, h11.ERROR}

    def _discard_rest(self) -> None:
        """Read until the caller closes, for a short time; keep nothing."""
        with (
            contextlib.suppress(_LingerExpiredError),
            self.clock.timeout(LINGER_SECONDS, _LingerExpiredError),
        ):
            received = self._sock.recv(_READ_BYTES)
            while received:
                self._reading.count()
                received = self._sock.recv(_READ_BYTES)

    def _abandon(self) -> None:
        """Reset a connection that can't be written to."""
        if self.writer.is_cut_off:
            self.reset_at_once()
        self._record_disconnect()

    def reset_at_once(self) -> None:
        """Reset the connection; frees what the kernel holds for the caller.

        Without a shutdown before it, which would show the caller a plain end.
        """
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._sock.close()

    def _hold_answer(self, size: int) -> None:
        """Count what waits to be sent; the kernel's buffer is full then."""
        self.account.hold_answer(size + CALLER_SEND_BYTES if size else 0)

    def _wait_for_more(self) -> None:
        """Have more data read, and block until it arrives."""
        self._data_arrived.clear()
        self._read_resumed.set()
        self._data_arrived.wait()

    def _pause_reading(self) -> None:
        """Block until more data is needed; the kernel holds what arrives."""
        self._read_resumed.clear()
        self.account.hold_unread(CALLER_RECEIVE_BYTES)
        self._read_resumed.wait()
        self.account.hold_unread(0)

    def _read(self) -> None:
        """Read ahead, so that a disconnect is seen while a request runs."""
        while True:
            if len(self.http.trailing_data[0]) >= _READ_AHEAD_BYTES:
                self._pause_reading()
            self._reading.count()
            try:
                data = self._sock.recv(_READ_BYTES)
            except OSError:
                data = b''
            if not data:
                self._record_disconnect()
                return
            with contextlib.suppress(h11.RemoteProtocolError):
                self.http.receive_data(data)
            self._data_arrived.set()

    def _record_disconnect(self) -> None:
        if self.disconnected.is_set():
            return
        self.disconnected.set()
        with contextlib.suppress(h11.RemoteProtocolError, RuntimeError):
            self.http.receive_data(b'')
        self._data_arrived.set()
        if self.on_disconnect is not None:
            self.on_disconnect()
