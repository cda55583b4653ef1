"""One connection of a caller, read ahead so that its close is noticed."""

import contextlib
import select
from collections.abc import Callable
from typing import Final

import h11
import msgspec
from gevent import monkey, socket
from gevent.event import Event

from guavagate.clock import Clock, Task

_READ_BYTES: Final = 65_536
# What may lie unread before a caller has to wait with the rest.
_READ_AHEAD_BYTES: Final = 262_144
# A caller that has just connected is about to send its request, a round trip
# later; a stop does not close on it before.
FIRST_REQUEST_GRACE_SECONDS: Final = 0.3
# The patched one lets other tasks run in the middle of a look.
_poll: Final = monkey.get_original('select', 'poll')


class ServerLimits(msgspec.Struct, frozen=True):
    """What a caller may send and how long it may take; bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class SlowBodyError(Exception):
    """The body stopped coming."""


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class CallerConnection:
    """One connection of a caller."""

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        limits: ServerLimits,
        is_closing: Callable[[], bool],
    ) -> None:
        self._sock = sock
        self.clock = clock
        self._grace_ends_at = clock.now() + FIRST_REQUEST_GRACE_SECONDS
        self.is_closing = is_closing
        self._limits = limits
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.disconnected = Event()
        self.on_disconnect: Callable[[], None] | None = None
        self._data_arrived = Event()
        self._read_resumed = Event()
        self._reader: Task = clock.spawn(self._read)

    def next_event(self) -> object:
        """Return the next part of a request; waits for bytes."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.disconnected.is_set():
                return h11.ConnectionClosed()
            self._data_arrived.clear()
            self._read_resumed.set()
            self._data_arrived.wait()

    def next_body_event(self) -> object:
        """Return the next part of a body, within the idle time."""
        idle = self._limits.idle_timeout
        with self.clock.timeout(idle, SlowBodyError):
            return self.next_event()

    def discard_body(self) -> bool:
        """Drop what is here of a body; return whether that was the rest.

        A request may be answered before its body was read. With a part of it
        still to come the connection can not carry another request.
        """
        with contextlib.suppress(h11.RemoteProtocolError):
            while self.http.their_state is h11.SEND_BODY:
                if self.http.next_event() is h11.NEED_DATA:
                    break
        return self.http.their_state is h11.DONE

    def wait_for_data(self) -> None:
        """Block until something of a request is here, or the caller left."""
        while not self.disconnected.is_set() and not self.http.trailing_data[0]:
            self._data_arrived.clear()
            self._read_resumed.set()
            self._data_arrived.wait()

    def write(self, event: h11.Event) -> None:
        """Send a part of an answer."""
        data = self.http.send(event)
        if not data:
            return
        try:
            self._sock.sendall(data)
        except OSError as error:
            self._record_disconnect()
            raise CallerDisconnectedError from error

    def reject(self, status: int, problem: str) -> None:
        """Answer what is no whole request; nothing of it has run."""
        if self.http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        text = f'{problem}\n'.encode()
        headers = [
            (b'Content-Length', str(len(text)).encode()),
            (b'Connection', b'close'),
        ]
        self.write(h11.Response(status_code=status, headers=headers))
        self.write(h11.Data(data=text))
        self.write(h11.EndOfMessage())

    def is_idle(self) -> bool:
        """Return whether nothing of a request is here or on its way in."""
        if self.http.trailing_data[0] or self.clock.now() < self._grace_ends_at:
            return False
        waiting = _poll()
        waiting.register(self._sock.fileno(), select.POLLIN)
        return not waiting.poll(0)

    def close_idle(self) -> None:
        """End an idle connection, and the task that waits on it."""
        self.close()
        self._record_disconnect()

    def reset(self) -> None:
        """Close without a proper end."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def close(self) -> None:
        """End the connection and its reader."""
        self._reader.kill()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        self._sock.close()

    def _read(self) -> None:
        """Read ahead, so that a caller's close is seen while work goes on."""
        while True:
            if len(self.http.trailing_data[0]) > _READ_AHEAD_BYTES:
                self._read_resumed.clear()
                self._read_resumed.wait()
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
