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
        """Close the connection, so that the response looks incomplete."""
        self._connection.reset()


Handler = Callable[[Exchange], None]
