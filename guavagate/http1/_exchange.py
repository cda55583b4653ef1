"""A request of a caller and the response to it."""

import io
import math
from collections.abc import Callable
from typing import Final

import h11

from guavagate.helpers.numbers import parse_whole_number
from guavagate.http1._caller_connection import CallerConnection
from guavagate.http1._caller_writer import CallerDisconnectedError
from guavagate.http1._memory import Phase
from guavagate.http1._messages import Headers, Request, find_header

_REASON_PHRASES: Final = {
    200: b'OK',
    202: b'Accepted',
    404: b'Not Found',
    503: b'Service Unavailable',
}


# On a new connection the balancer chooses another instance.
_RETRY_ELSEWHERE: Final = (b'Retry-After', b'0')


class BodyTooLargeError(Exception):
    """The request body exceeds the limit."""


class BodyRefusedError(Exception):
    """There is no memory for the request body; the rest is not read."""


class Exchange:
    """A request of a caller and the response to it.

    Attributes
    ----------
    id
        The request's id, for the log; set by a handler that knows it.
    keep_open
        Whether the connection may carry another request after this one.
    interrupted
        Whether the server ends now, so that the request must be answered.
    deadline
        When the caller stops to wait, in seconds of the clock; set by a handler
        that knows it.
    """

    def __init__(
        self,
        connection: CallerConnection,
        request: Request,
    ) -> None:
        self._connection = connection
        self.request = request
        self.account = connection.account
        self.id = ''
        self.keep_open = True
        self.deadline = math.inf
        self.disconnected = connection.disconnected
        self.interrupted = False
        self._is_received = False
        self._ends_with_connection = False
        self.started = False
        self.ended = False
        self.arrived_at = connection.clock.now()

    def get_header(self, name: bytes) -> str:
        """Return the value of a header; the name is in lower case."""
        return find_header(self.request.headers, name)

    def get_header_values(self, name: bytes) -> list[str]:
        """Return all values of a header; the name is in lower case."""
        return [
            content.decode('latin-1')
            for key, content in self.request.headers
            if key.lower() == name
        ]

    def on_disconnect(self, call: Callable[[], None] | None) -> None:
        """Set what to call, without blocking, when the caller disconnects."""
        self._connection.on_disconnect = call
        if call is not None and self.disconnected.is_set():
            call()

    @property
    def must_end(self) -> bool:
        """Return whether nobody waits for the result of the request."""
        return self.interrupted or self.disconnected.is_set()

    def may_take(self, seconds: float) -> bool:
        """Return whether a request can be answered in so many seconds.

        A planned stop ends the requests that still run at its end. One that
        comes late is better refused: what has not run may run elsewhere.
        """
        now = self._connection.clock.now()
        return now + seconds <= self._connection.get_end()

    def interrupt(self) -> None:
        """Have the handler answer at once, if it has not begun to."""
        if self.started:
            return
        self.interrupted = True
        if self._connection.on_disconnect is not None:
            self._connection.on_disconnect()

    def answer_unfinished(self) -> None:
        """Answer in place of a handler that has not, or not to the end."""
        if self.started:
            if self._ends_with_connection:
                self.abort()
            return
        self.started = True
        if self._is_received:
            self._connection.reject(504, 'stopped; it may have run')
        else:
            self._connection.reject(503, 'not run: stopped', _RETRY_ELSEWHERE)

    def read_body(self, limit: int) -> bytes:
        """Return the complete body.

        Raises
        ------
        BodyTooLargeError
            The body exceeds the limit; the rest is not read.
        BodyRefusedError
            There is no memory for it; the rest is not read.
        MalformedBodyError
            It is not valid HTTP/1.1.
        CallerDisconnectedError
            The caller disconnected before the body was complete.
        SlowBodyError
            No more of it arrived within the idle timeout.
        """
        declared = self._get_declared_size()
        if declared > limit:
            raise BodyTooLargeError
        if not self.account.admit_body(declared):
            raise BodyRefusedError
        # Unlike a list of parts, it makes no second copy of the body.
        body = io.BytesIO()
        while True:
            event = self._connection.next_body_event()
            if isinstance(event, h11.EndOfMessage):
                self._is_received = True
                self.account.hold_body(body.tell())
                self.account.enter(Phase.RUNNING)
                return body.getvalue()
            if not isinstance(event, h11.Data):
                raise CallerDisconnectedError
            size = body.tell() + len(event.data)
            if size > limit:
                raise BodyTooLargeError
            if size > declared and not self.account.admit_body(size):
                raise BodyRefusedError
            body.write(event.data)

    def _get_declared_size(self) -> int:
        """Return the body's `Content-Length`, or 0 if it has none."""
        declared = self.get_header(b'content-length')
        return parse_whole_number(declared) or 0

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = (b'Content-Length', str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.send(body)
        self.end()

    def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the response."""
        keep_open = (
            self._connection.discard_body()
            and not self._connection.is_closing()
            and self.keep_open
        )
        extra = [] if keep_open else [(b'Connection', b'close')]
        self.started = True
        self._ends_with_connection = self._connection.reads_no_chunks() and (
            not find_header(headers, b'content-length')
        )
        self._connection.begin_answer()
        self._connection.write(
            h11.Response(
                status_code=status,
                headers=[*headers, *extra],
                reason=_REASON_PHRASES.get(status, b''),
            )
        )

    def send(self, part: bytes) -> None:
        """Send a part of the response body; wait for the caller."""
        self._connection.write(h11.Data(data=part))

    def send_ahead(self, part: bytes) -> None:
        """Send a part of the response body; wait only on a full buffer."""
        self._connection.write_ahead(h11.Data(data=part))

    def end(self) -> None:
        """Mark the response as complete."""
        self._connection.write(h11.EndOfMessage())
        self.ended = True

    def abort(self) -> None:
        """Close the connection, so that the response looks incomplete.

        What was sent may still be read, unless the end of the connection would
        complete the response.
        """
        if self._ends_with_connection and not self.ended:
            self._connection.reset_at_once()
        else:
            self._connection.shut_down()


Handler = Callable[[Exchange], None]
