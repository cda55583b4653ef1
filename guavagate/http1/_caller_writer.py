"""Writes to a caller that may read slowly, and detects one that reads nothing.

Load pattern: callers request large answers or streams and stop reading. Each
write would block for ever and hold the answer in memory.

A write makes progress when the caller accepts a byte, however few. The kernel
reports a socket as writable only once a third of its send buffer is free, which
takes a slow caller longer than the idle timeout. It accepts data before that,
so a write is tried again at short intervals.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from gevent import socket
from gevent.event import Event

from guavagate.clock import Clock, Task

# Between two tries of a write. A caller that takes nothing is cut off so much
# late at most, and its upstream run must be cancelled within 0.5 s.
CHECK_SECONDS: Final = 0.1
# A try that takes longer was interrupted: this process was suspended, and the
# caller had no chance to take anything.
SUSPENSION_SECONDS: Final = 1.0
# Events of a stream that wait for its caller. A whole stream of 700 events of
# a few hundred bytes fits, and 300 slow callers hold 75 MB.
STREAM_BUFFER_BYTES: Final = 262_144


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class SlowCallerError(CallerDisconnectedError):
    """The caller accepted no byte within the idle timeout and was cut off."""


class _NotWritableError(Exception):
    """The send buffer remained full until the next check."""


class CallerWriter:
    """The data that a caller has not accepted yet, in order.

    Parameters
    ----------
    idle_timeout
        Seconds without progress after which the caller is cut off.
    on_failure
        Called once, without blocking, when the connection can't be written to.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        idle_timeout: float,
        on_failure: Callable[[], None],
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._idle_timeout = idle_timeout
        self._on_failure = on_failure
        self._queue: deque[bytes] = deque()
        self._offset = 0
        self._progress_at = clock.now()
        self._changed = Event()
        self._flusher: Task | None = None
        self._failed = False
        self.is_cut_off = False
        # Bytes in memory, the accepted part of the first piece included.
        self.size = 0
        self.on_size: Callable[[int], None] | None = None

    def write(self, data: bytes, limit: int = 0) -> None:
        """Send data; return once at most `limit` bytes remain to be sent.

        Raises
        ------
        CallerDisconnectedError
            The caller has gone, or was cut off (`SlowCallerError`).
        """
        self._check_failure()
        if not self._queue:
            self._progress_at = self._clock.now()
            self._offset = self._send_at_once(data)
        if self._queue or self._offset < len(data):
            self._queue.append(data)
            self._set_size(self.size + len(data))
            if self._flusher is None:
                self._flusher = self._clock.spawn(self._flush)
        while self.size > limit:
            self._changed.clear()
            self._changed.wait()
            self._check_failure()

    def is_stalled(self, seconds: float) -> bool:
        """Return whether data has waited for so long without progress."""
        if not self._queue:
            return False
        return self._clock.now() - self._progress_at >= seconds

    def cut_off(self) -> None:
        """Discard what is not sent, and let each write fail from now on."""
        self._failed = True
        self._discard()

    def close(self) -> None:
        """Discard what is not sent."""
        if self._flusher is not None:
            self._flusher.kill(block=False)
        self._discard()

    def _check_failure(self) -> None:
        if self.is_cut_off:
            raise SlowCallerError
        if self._failed:
            raise CallerDisconnectedError

    def _send_at_once(self, data: bytes) -> int:
        """Return how many bytes the socket accepts without waiting."""
        self._sock.settimeout(0)
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._fail()
            raise CallerDisconnectedError from error
        finally:
            self._sock.settimeout(None)

    def _flush(self) -> None:
        while self._queue:
            before = self._clock.now()
            try:
                sent = self._send_when_writable()
            except OSError:
                self._fail()
                return
            now = self._clock.now()
            if sent or now - before > SUSPENSION_SECONDS:
                self._progress_at = now
            elif now - self._progress_at >= self._idle_timeout:
                self.is_cut_off = True
                self._fail()
                return
        self._flusher = None

    def _send_when_writable(self) -> int:
        first = self._queue[0]
        try:
            with self._clock.timeout(CHECK_SECONDS, _NotWritableError):
                sent = self._sock.send(memoryview(first)[self._offset :])
        except _NotWritableError:
            return 0
        self._offset += sent
        if self._offset == len(first):
            self._queue.popleft()
            self._offset = 0
            self._set_size(self.size - len(first))
        return sent

    def _fail(self) -> None:
        self._flusher = None
        if self._failed:
            return
        self._failed = True
        self._discard()
        self._on_failure()

    def _discard(self) -> None:
        self._queue.clear()
        self._offset = 0
        self._set_size(0)

    def _set_size(self, size: int) -> None:
        self.size = size
        if self.on_size is not None:
            self.on_size(size)
        self._changed.set()
