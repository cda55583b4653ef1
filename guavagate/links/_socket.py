"""A task that owns one zmq socket; others hand it frames over a queue."""

import struct
from collections.abc import Callable
from typing import Final

import gevent
import zmq
from gevent.event import Event

from guavagate.util.traffic import Traffic

Frames = list[bytes]

# One pass hands over at most this many frames before other tasks run.
_BATCH: Final = 64
_DROPPED: Final = zmq.EVENT_DISCONNECTED
_FAILED: Final = zmq.EVENT_CONNECT_RETRIED
_WATCHED: Final = _DROPPED | _FAILED
# The event and its value, as zmq_socket_monitor(3) lays them out.
_MONITOR_FRAME: Final = struct.Struct('=Hi')


def _read_event(frames: Frames) -> int:
    """Return which event of a connection a monitor's message tells.

    The library's own reader comes with asyncio, a fifteenth of a start.
    """
    event, _ = _MONITOR_FRAME.unpack(frames[0])
    return int(event)


class SocketOwner:
    """Reads and writes one socket; nobody else touches it.

    zmq.green's blocking calls wait for the socket alone, not for a queue as
    well, so the owner waits on one event that both the socket's file
    descriptor and the queue set.

    Parameters
    ----------
    limit
        Frames that may wait to be taken over by zmq.
    received
        Called with each message, without blocking.
    lost
        Called when the connection breaks or can't be made.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        limit: int,
        traffic: Traffic,
        received: Callable[[Frames], None],
        lost: Callable[[], None] | None = None,
    ) -> None:
        self._socket = socket
        self._limit = limit
        self._traffic = traffic
        self._received = received
        self._lost = lost
        self._outbox: dict[int, Frames] = {}
        self._sequence = 0
        self._wake = Event()
        self._open = True
        self._monitor: zmq.Socket | None = None
        if lost is not None:
            self._monitor = socket.get_monitor_socket(_WATCHED)
        # zmq signals a monitor's event only to one that found none before.
        self._events_due = True
        self._watchers = [self._watch(socket, self._wake.set)]
        if self._monitor is not None:
            self._watchers.append(
                self._watch(self._monitor, self._wake_for_events)
            )
        self._task = gevent.spawn(self._run)

    def put(self, frames: Frames) -> int | None:
        """Queue a message; nothing when the queue is full or closed."""
        if not self._open or len(self._outbox) >= self._limit:
            return None
        self._sequence += 1
        self._outbox[self._sequence] = frames
        self._wake.set()
        return self._sequence

    def withdraw(self, ticket: int) -> bool:
        """Take a message back; false when zmq has it already."""
        return self._outbox.pop(ticket, None) is not None

    def close(self) -> None:
        """Close the socket; what still waits is dropped."""
        if not self._open:
            return
        self._open = False
        self._wake.set()

    def join(self, timeout: float) -> None:
        """Wait until the socket is closed."""
        self._task.join(timeout)

    def _watch(
        self, source: zmq.Socket, notify: Callable[[], None]
    ) -> 'gevent._types._WatcherT':
        watcher = gevent.get_hub().loop.io(source.getsockopt(zmq.FD), 1)
        watcher.start(notify)
        return watcher

    def _wake_for_events(self) -> None:
        self._events_due = True
        self._wake.set()

    def _run(self) -> None:
        try:
            while self._open:
                self._wake.clear()
                self._drain()
                self._wake.wait()
            self._give_out()
        finally:
            self._dispose()

    def _drain(self) -> None:
        """Move messages both ways until neither side has any.

        The descriptor signals a change once, so leaving a message behind
        would leave it until the next one.
        """
        moved = 1
        while moved and self._open:
            moved = self._take_in() + self._give_out()
            if moved >= _BATCH:
                gevent.sleep(0)
        if self._events_due:
            self._events_due = False
            self._take_events()

    def _take_in(self) -> int:
        taken = 0
        while taken < _BATCH and self._open:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                break
            taken += 1
            self._traffic.record_received(len(frames[-1]))
            self._received(frames)
        return taken

    def _give_out(self) -> int:
        given = 0
        while self._outbox and given < _BATCH:
            ticket = next(iter(self._outbox))
            try:
                frames = self._outbox[ticket]
                self._socket.send_multipart(frames, zmq.NOBLOCK)
                self._traffic.record_sent(len(frames[-1]))
            except zmq.Again:
                break
            except zmq.ZMQError:  # The peer has gone: nobody to answer.
                given -= 1
            self._outbox.pop(ticket)
            given += 1
        return given

    def _take_events(self) -> None:
        while self._monitor is not None and self._open:
            try:
                frames = self._monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            if _read_event(frames) & _WATCHED:
                self._lost and self._lost()

    def _dispose(self) -> None:
        for watcher in self._watchers:
            watcher.stop()
            watcher.close()
        if self._monitor is not None:
            self._socket.disable_monitor()
            self._monitor.close(linger=0)
        self._socket.close(linger=_LINGER_MS)


_LINGER_MS: Final = 200
