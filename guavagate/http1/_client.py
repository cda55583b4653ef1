"""HTTP client with pooled connections to upstreams."""

import contextlib
from collections import deque
from collections.abc import Callable
from typing import Final

import h11
from gevent import socket

from guavagate.clock import Clock
from guavagate.exceptions import (
    UpstreamError,
    UpstreamNotStartedError,
    UpstreamUnreachableError,
)
from guavagate.helpers.addresses import split_address
from guavagate.helpers.numbers import parse_whole_number
from guavagate.http1._answer import (
    IDLE_SECONDS,
    MAX_BODY_BYTES,
    Answer,
    Connection,
)
from guavagate.http1._messages import Request
from guavagate.http1._request_writer import send_request
from guavagate.http1._sockets import set_socket_options
from guavagate.http1._turns import Turns
from guavagate.http1._upstream_socket import UpstreamSocket

CONNECT_SECONDS: Final = 1.0
SWEEP_INTERVAL_SECONDS: Final = 5.0
_MAX_IDLE_CONNECTIONS: Final = 32
# Bound of all answers that are being read. Above it, the next one that grows
# beyond the small size is cut, so that answers of usual size still arrive.
MAX_READING_BYTES: Final = 48_000_000
SMALL_BODY_BYTES: Final = 1_000_000
# Between two looks for room for an answer.
ROOM_CHECK_SECONDS: Final = 0.02
# For the body of an answer to a call of this instance itself.
BODY_SECONDS: Final = 5.0


def _charge_nothing(growth: int) -> None:
    """Count no memory."""


def _find_room(size: int) -> bool:
    """Find room for any answer."""
    return True


def _accept_any(answer: Answer) -> bool:
    """Accept any answer as the one to the request."""
    return True


class ConnectionPool:
    """A process's connections to upstreams, by address.

    Parameters
    ----------
    charge
        Called with the bytes by which the answers being read grow, or shrink
        if negative.
    make_room
        Makes room for so many bytes of answers; returns whether there is.
    max_reading
        Bound of the bytes of all answers that are being read.

    Attributes
    ----------
    turns
        Shares the processor among the answers that need much of it.
    """

    def __init__(
        self,
        clock: Clock,
        charge: Callable[[int], None] = _charge_nothing,
        make_room: Callable[[int], bool] = _find_room,
        max_reading: float = MAX_READING_BYTES,
    ) -> None:
        self._max_reading = max_reading
        self._clock = clock
        self.turns = Turns(clock)
        self._charge = charge
        self._make_room = make_room
        self._reading_bytes = 0
        self._idle: dict[str, deque[Connection]] = {}
        self.opened = 0

    def record_reading(self, growth: int) -> None:
        """Record by how many bytes the answers being read have grown."""
        self._reading_bytes += growth
        self._charge(growth)

    def may_read(self, size: int, limit: int) -> bool:
        """Return whether an answer of a size so far may be read further."""
        if size > limit:
            return False
        if size <= SMALL_BODY_BYTES or self._reading_bytes <= size:
            return True
        return self._reading_bytes <= self._max_reading and self._make_room(0)

    def reserve(self, size: int) -> None:
        """Wait until there is memory for an answer of a size, and count it.

        The answers that are being read end and make room, so a larger one
        waits for them, and is read in any case once it is the only one.
        """
        while size > SMALL_BODY_BYTES:
            within = self._reading_bytes + size <= self._max_reading
            if (within and self._make_room(size)) or not self._reading_bytes:
                break
            self._clock.sleep(ROOM_CHECK_SECONDS)
        if size:
            self.record_reading(size)

    def send(
        self,
        address: str,
        request: Request,
        body: bytes = b'',
        *,
        timeout: float | None,
        reuse: bool = True,
        connect: bool = True,
        is_own: Callable[[Answer], bool] = _accept_any,
    ) -> Answer:
        """Send a request once and wait for the headers of its response.

        Parameters
        ----------
        timeout
            Seconds until the headers must have arrived; `None` waits until
            the connection ends.
        reuse
            Whether the request may use an idle connection of the pool.
        connect
            Whether a new connection may be opened for the request.
        is_own
            Returns whether an answer is the one to this request, by its status
            and headers. If not, the connection is closed: what it carries next
            can't be known.

        Raises
        ------
        UpstreamNotStartedError
            Nothing was sent: no connection was established or idle, or the
            request is not valid HTTP/1.1.
        UpstreamError
            Part of the request may have been sent.
        """
        connection = self._acquire(address) if reuse else None
        if connection is None and not connect:
            raise UpstreamNotStartedError(
                f'no connection to {address} is idle', 'open a new one'
            )
        if connection is None:
            connection = self._connect(address)
        answer = Answer(self, address, connection)
        with self._limit_time(address, timeout):
            try:
                send_request(connection.http, connection.sock, request, body)
                answer.read_head()
            except BaseException:
                answer.close()
                raise
        if not is_own(answer):
            answer.close()
            raise UpstreamError(
                f'{address} sent the answer to another request',
                'check the upstream; its connection was closed',
            )
        return answer

    def fetch(
        self,
        address: str,
        request: Request,
        body: bytes = b'',
        *,
        timeout: float,
        limit: int = MAX_BODY_BYTES,
        is_own: Callable[[Answer], bool] = _accept_any,
    ) -> tuple[Answer, bytes]:
        """Send a request, and return its answer with the whole body.

        The parameters and errors are those of `send`; the body has to arrive
        within `BODY_SECONDS`.
        """
        answer = self.send(
            address, request, body, timeout=timeout, is_own=is_own
        )
        try:
            with self._limit_time(address, BODY_SECONDS):
                return answer, answer.read(limit)
        finally:
            answer.close()

    def release(
        self, address: str, connection: Connection, answer: Answer
    ) -> None:
        """Put a connection back in the pool if it can carry a request."""
        http = connection.http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        idle = self._idle.setdefault(address, deque())
        if (
            not done
            or connection.sock.is_broken
            or http.trailing_data[0]
            or len(idle) >= _MAX_IDLE_CONNECTIONS
        ):
            connection.close()
            return
        http.start_next_cycle()
        connection.idle_since = self._clock.now()
        connection.idle_limit = _read_keep_alive(answer)
        idle.append(connection)

    def has_idle_connection(self, address: str) -> bool:
        """Return whether the pool has an idle connection to an address."""
        idle = self._idle.get(address)
        return bool(idle and idle[-1].is_fresh(self._clock.now()))

    def count_idle_connections(self, address: str) -> int:
        """Return how many idle connections to an address are fresh."""
        now = self._clock.now()
        return sum(each.is_fresh(now) for each in self._idle.get(address, ()))

    def get_idle_seconds_left(self, address: str) -> float | None:
        """Return how long there is an idle connection, `None` without one."""
        idle = self._idle.get(address)
        return idle[-1].seconds_left(self._clock.now()) if idle else None

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def start_sweeping(self) -> None:
        """Start a task that periodically closes unusable connections."""
        self._clock.spawn(self._sweep_periodically)

    def _sweep_periodically(self) -> None:
        while True:
            self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Close idle connections that can carry no further request."""
        now = self._clock.now()
        for address, idle in list(self._idle.items()):
            usable = deque(each for each in idle if each.is_usable(now))
            for connection in idle:
                if connection not in usable:
                    connection.close()
            self._idle[address] = usable
            if not usable:
                self._idle.pop(address)

    def _acquire(self, address: str) -> Connection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable(self._clock.now()):
                return connection
            connection.close()
        return None

    def _connect(self, address: str) -> Connection:
        try:
            sock = socket.create_connection(
                split_address(address), timeout=CONNECT_SECONDS
            )
        except (OSError, ValueError) as error:
            raise UpstreamUnreachableError(
                f'{address} accepts no connection ({error})',
                'check that the upstream runs',
            ) from error
        sock.settimeout(None)
        set_socket_options(sock)
        self.opened += 1
        return Connection(UpstreamSocket(sock, self.turns), self._clock)

    def _limit_time(
        self, address: str, timeout: float | None
    ) -> contextlib.AbstractContextManager[None]:
        if timeout is None:
            return contextlib.nullcontext()
        return self._clock.timeout(
            timeout,
            lambda: UpstreamError(
                f'{address} has not answered for {timeout:g} s',
                'check the upstream; whether it ran the request is unknown',
            ),
        )


def _read_keep_alive(answer: Answer) -> float:
    for part in answer.get_header(b'keep-alive').split(','):
        name, _, amount = part.strip().partition('=')
        seconds = parse_whole_number(amount)
        if name.lower() == 'timeout' and seconds is not None:
            return float(seconds)
    return IDLE_SECONDS
