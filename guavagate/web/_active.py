"""Counts the active requests, streams included."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from gevent.event import Event

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
# Called at the start of a request; the function that it returns is called with
# the status at the end.
RequestObserver = Callable[[dict[str, Any]], Callable[[str], None]]


class ActiveRequests:
    """Wraps an app so that a planned stop can wait until no request is active.

    While `closing`, each answer asks its caller to close the connection. The
    load balancer then sends the next request to another instance.
    """

    def __init__(
        self, app: WsgiApp, observer: RequestObserver | None = None
    ) -> None:
        self._app = app
        self._observer = observer or _ignore_request
        self.count = 0
        self.closing = False
        self._idle = Event()
        self._idle.set()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Answer a request and count it until its last byte is written."""
        self.count += 1
        self._idle.clear()
        try:
            yield from self._answer(environ, start_response)
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    def wait_idle(self) -> None:
        """Block until no request is active."""
        self._idle.wait()

    def _answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        end = self._observer(environ)
        sent_status = ['']

        def start(
            status: str,
            headers: list[tuple[str, str]],
            *args: Any,
        ) -> Any:
            sent_status[0] = status
            if self.closing:
                headers = [*headers, ('Connection', 'close')]
            return start_response(status, headers, *args)

        body = self._app(environ, start)
        try:
            yield from body
        finally:
            close = getattr(body, 'close', None)
            if close is not None:
                close()
            end(sent_status[0])


def _ignore_request(environ: dict[str, Any]) -> Callable[[str], None]:
    return lambda status: None
