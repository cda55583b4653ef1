"""A task that owns one zmq socket and sends frames that others queue."""

import struct
from collections.abc import Callable
from typing import Final

import gevent
import zmq
from gevent.event import Event

from guavagate.util.traffic import Traffic

Frames = list[bytes]

# Messages moved in one pass before other tasks run.
_BATCH: Final = 64
_DISCONNECTED: Final = zmq.EVENT_DISCONNECTED
_CONNECT_FAILED: Final = zmq.EVENT_CONNECT_RETRIED
_MONITORED_EVENTS: Final = _DISCONNECTED | _CONNECT_FAILED
# The event and its value, as zmq_socket_monitor(3) lays them out.
_MONITOR_FRAME: Final = struct.Struct('=Hi')


def _read_event(frames: Frames) -> int:
    """Return the connection event in a monitor's message.

    The library's own parser imports asyncio, which takes a fifteenth of the
    startup time.
    """
    event, _ = _MONITOR_FRAME.unpack(frames[0])
    return int(event)


class SocketOwner:
    """Reads and writes one socket, which no other task uses.

    The blocking calls of zmq.green wait only for the socket and not for a queue
    as well. So the owner waits for one event that both the socket's file
    descriptor and the queue set.

    Parameters
    ----------
    limit
        Messages that may be queued for zmq.
    on_receive
        Called with each message; must not block.
    on_loss
        Called when the connection breaks or can't be established.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        limit: int,
        traffic: Traffic,
        on_receive: Callable[[Frames], None],
        on_loss: Callable[[], None] | None = None,
    ) -> None:
        self._socket = socket
        self._limit = limit
        self._traffic = traffic
        self._on_receive = on_receive
        self._on_loss = on_loss
        self._outbox: dict[int, Frames] = {}
        self._sequence = 0
        self._wake = Event()
        self._open = True
        self._monitor: zmq.Socket | None = None
        if on_loss is not None:
            self._monitor = socket.get_monitor_socket(_MONITORED_EVENTS)
        # zmq signals new monitor events only after a read found none left.
        self._events_pending = True
        self._watchers = [self._start_watcher(socket, self._wake.set)]
        if self._monitor is not None:
            self._watchers.append(
                self._start_watcher(self._monitor, self._wake_for_events)
            )
        self._task = gevent.spawn(self._run)

    def put(self, frames: Frames) -> int | None:
        """Queue a message; return its ticket, or None if full or closed."""
        if not self._open or len(self._outbox) >= self._limit:
            return None
        self._sequence += 1
        self._outbox[self._sequence] = frames
        self._wake.set()
        return self._sequence

    def withdraw(self, ticket: int) -> bool:
        """Remove a queued message; return False if zmq has it already."""
        return self._outbox.pop(ticket, None) is not None

    def close(self) -> None:
        """Close the socket after a last attempt to send queued messages."""
        if not self._open:
            return
        self._open = False
        self._wake.set()

    def join(self, timeout: float) -> None:
        """Wait until the socket is closed."""
        self._task.join(timeout)

    def _start_watcher(
        self, source: zmq.Socket, notify: Callable[[], None]
    ) -> 'gevent._types._WatcherT':
        watcher = gevent.get_hub().loop.io(source.getsockopt(zmq.FD), 1)
        watcher.start(notify)
        return watcher

    def _wake_for_events(self) -> None:
        self._events_pending = True
        self._wake.set()

    def _run(self) -> None:
        try:
            while self._open:
                self._wake.clear()
                self._drain()
                self._wake.wait()
            self._send_batch()
        finally:
            self._dispose()

    def _drain(self) -> None:
        """Receive and send messages until neither side has any.

        The descriptor signals a change only once, so a message that is left
        behind would wait until the next one arrives.
        """
        moved = 1
        while moved and self._open:
            moved = self._receive_batch() + self._send_batch()
            if moved >= _BATCH:
                gevent.sleep(0)
        if self._events_pending:
            self._events_pending = False
            self._handle_events()

    def _receive_batch(self) -> int:
        count = 0
        while count < _BATCH and self._open:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                break
            count += 1
            self._traffic.record_received(len(frames[-1]))
            self._on_receive(frames)
        return count

    def _send_batch(self) -> int:
        count = 0
        while self._outbox and count < _BATCH:
            ticket = next(iter(self._outbox))
            try:
                frames = self._outbox[ticket]
                self._socket.send_multipart(frames, zmq.NOBLOCK)
                self._traffic.record_sent(len(frames[-1]))
            except zmq.Again:
                break
            except zmq.ZMQError:  # The peer has disconnected.
                count -= 1
            self._outbox.pop(ticket)
            count += 1
        return count

    def _handle_events(self) -> None:
        while self._monitor is not None and self._open:
            try:
                frames = self._monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            if _read_event(frames) & _MONITORED_EVENTS:
                self._on_loss and self._on_loss()

    def _dispose(self) -> None:
        for watcher in self._watchers:
            watcher.stop()
            watcher.close()
        if self._monitor is not None:
            self._socket.disable_monitor()
            self._monitor.close(linger=0)
        self._socket.close(linger=_LINGER_MS)


_LINGER_MS: Final = 200
