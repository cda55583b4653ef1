"""HTTP client with pooled connections to upstreams."""

import contextlib
import io
import select
from collections import deque
from collections.abc import Callable, Iterator
from typing import Final

import h11
from gevent import monkey, socket

from guavagate.clock import Clock
from guavagate.exceptions import (
    UpstreamDisconnectedError,
    UpstreamError,
    UpstreamNotStartedError,
    UpstreamUnreachableError,
)
from guavagate.http1._messages import Headers, Request, find_header
from guavagate.http1._request_writer import send_request
from guavagate.http1._sockets import set_socket_options

CONNECT_SECONDS: Final = 1.0
# Idle timeout assumed where a response has no Keep-Alive header.
IDLE_SECONDS: Final = 10.0
# Share of the idle timeout for which a connection is reused. An upstream closes
# idle connections at its own timeout, and a request that crosses the close is
# lost. Requests that must not be repeated get a new connection.
IDLE_LIMIT_SHARE: Final = 0.9
_READ_BYTES: Final = 65_536
SWEEP_INTERVAL_SECONDS: Final = 5.0
_MAX_IDLE_CONNECTIONS: Final = 32
# The patched `poll` would let other tasks run and change the list of idle
# connections while it is scanned.
_poll: Final = monkey.get_original('select', 'poll')


class Connection:
    """A connection to an upstream that carries one request at a time."""

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.sock = sock
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_READ_BYTES
        )
        self.idle_since = clock.now()
        self.idle_limit = IDLE_SECONDS

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
    """An upstream's response, read as it arrives."""

    def __init__(
        self, pool: 'ConnectionPool', address: str, connection: Connection
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection: Connection | None = connection
        self.status = 0
        self.headers: Headers = []
        self.complete = False

    def get_header(self, name: bytes) -> str:
        """Return the value of a header; the name is in lower case."""
        return find_header(self.headers, name)

    def read_head(self) -> None:
        """Read the final status and headers, past interim responses."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                break
            if not isinstance(event, h11.InformationalResponse):
                raise self._make_error(f'sent {event!r} for an answer')
        self.status = event.status_code
        self.headers = list(event.headers.raw_items())

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; an incomplete one raises `UpstreamError`."""
        while not self.complete:
            event = self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
            else:
                raise self._make_error(
                    'closed in the middle of its answer', disconnected=True
                )
        self._release()

    def read(self) -> bytes:
        """Return the complete body; its memory counts while it is read."""
        # Unlike a list of parts, it makes no second copy of the body.
        body = io.BytesIO()
        try:
            for chunk in self.chunks():
                self._pool.charge(len(chunk))
                body.write(chunk)
            return body.getvalue()
        finally:
            self._pool.charge(-body.tell())

    def close(self) -> None:
        """Close the connection unless it is back in the pool."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _next_event(self) -> object:
        connection = self._connection
        if connection is None:
            raise self._make_error('was left by us')
        disconnected = False
        try:
            while True:
                event = connection.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                received = connection.sock.recv(_READ_BYTES)
                disconnected = not received
                connection.http.receive_data(received)
        except OSError as error:
            raise self._make_error(
                str(error) or type(error).__name__, disconnected=True
            ) from error
        except h11.RemoteProtocolError as error:
            raise self._make_error(
                str(error) or type(error).__name__, disconnected=disconnected
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


def _charge_nothing(growth: int) -> None:
    """Count no memory."""


class ConnectionPool:
    """A process's connections to upstreams, by address.

    Parameters
    ----------
    charge
        Called with the bytes by which the answers being read grow, or shrink
        if negative.
    """

    def __init__(
        self, clock: Clock, charge: Callable[[int], None] = _charge_nothing
    ) -> None:
        self._clock = clock
        self.charge = charge
        self._idle: dict[str, deque[Connection]] = {}
        self.opened = 0

    def send(
        self,
        address: str,
        request: Request,
        body: bytes = b'',
        *,
        timeout: float | None,
        reuse: bool = True,
        connect: bool = True,
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
        return answer

    def release(
        self, address: str, connection: Connection, answer: Answer
    ) -> None:
        """Put a connection back in the pool if it can carry a request."""
        http = connection.http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        idle = self._idle.setdefault(address, deque())
        if (
            not done
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
        host, _, port = address.rpartition(':')
        try:
            sock = socket.create_connection(
                (host, int(port)), timeout=CONNECT_SECONDS
            )
        except OSError as error:
            raise UpstreamUnreachableError(
                f'{address} accepts no connection ({error})',
                'check that the upstream runs',
            ) from error
        sock.settimeout(None)
        set_socket_options(sock)
        self.opened += 1
        return Connection(sock, self._clock)

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
        if name.lower() == 'timeout' and amount.isdigit():
            return float(amount)
    return IDLE_SECONDS
