"""Counts the requests being answered, streams included."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from gevent.event import Event

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
# Called at a request's start; what it returns, with the status at its end.
Watch = Callable[[dict[str, Any]], Callable[[str], None]]


class ActiveRequests:
    """Wraps an app; a planned stop waits until nothing is active.

    While `closing`, each answer asks its caller to close the connection, so
    that the balancer sends the next request elsewhere.
    """

    def __init__(self, app: WsgiApp, watch: Watch | None = None) -> None:
        self._app = app
        self._watch = watch or _watch_nothing
        self.count = 0
        self.closing = False
        self._idle = Event()
        self._idle.set()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Answer one request and count it until its last byte is written."""
        self.count += 1
        self._idle.clear()
        try:
            yield from self._answer(environ, start_response)
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    def wait_idle(self) -> None:
        """Block until no request is being answered."""
        self._idle.wait()

    def _answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        end = self._watch(environ)
        sent = ['']

        def start(
            status: str,
            headers: list[tuple[str, str]],
            *args: Any,
        ) -> Any:
            sent[0] = status
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
            end(sent[0])


def _watch_nothing(environ: dict[str, Any]) -> Callable[[str], None]:
    return lambda status: None
