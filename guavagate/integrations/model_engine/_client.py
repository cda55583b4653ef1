"""Implements the engine port over HTTP."""

import contextlib
import logging
from collections.abc import Generator, Iterator
from typing import NoReturn, TypeVar
from urllib.parse import quote

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import (
    UpstreamDisconnectedError,
    UpstreamError,
    UpstreamNotStartedError,
)
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.event_stream import is_blank
from guavagate.integrations._errors import make_error, make_malformed_error
from guavagate.integrations._http import Connections, Response
from guavagate.integrations.model_engine import const
from guavagate.integrations.model_engine._wire import (
    StreamChecker,
    decode_event,
    encode_request,
)
from guavagate.integrations.model_engine.models import (
    CacheEvents,
    StreamEvent,
)
from guavagate.ports.engine import (
    EngineOrder,
    EngineReport,
    Generation,
    Piece,
)

_LOGGER = logging.getLogger(__name__)

_Answer = TypeVar('_Answer')


class HttpModelEngine:
    """Client for all engines that an instance uses.

    Parameters
    ----------
    clock
        Limits every wait.

    Attributes
    ----------
    dropped
        Number of pieces dropped because they belong to another exchange.
    """

    def __init__(self, clock: Clock) -> None:
        self._connections = Connections(clock)
        self._clock = clock
        self.dropped = 0

    def generate(
        self,
        address: str,
        generation: Generation,
        token_timeout: float,
    ) -> Iterator[Piece]:
        """Stream the pieces; iterate to the end, or close to cancel.

        Nothing is sent before the first iteration.

        Raises
        ------
        UpstreamNotStartedError
            The engine has not started.
        UpstreamError
            It may have: the stream broke, stalled or is incomplete.
        """
        running = True
        stream = self._stream(address, generation, token_timeout)
        try:
            with contextlib.closing(stream):
                for piece in stream:
                    running = piece.finish is None
                    yield piece
        except UpstreamNotStartedError:
            running = False
            raise
        finally:
            if running:
                self._clock.spawn(self._cancel, address, generation.exchange)

    def report(self, address: str, timeout: float) -> EngineReport:
        """Return the engine's report."""
        return self._request(
            address, 'GET', const.PATH_REPORT, b'', EngineReport, timeout
        )

    def order(self, address: str, order: EngineOrder, timeout: float) -> None:
        """Send an order; a rejected one raises `UpstreamError`."""
        body = msgspec.json.encode(order)
        self._request(address, 'POST', const.PATH_ORDERS, body, dict, timeout)

    def cache_events(
        self, address: str, since: int, timeout: float
    ) -> CacheEvents:
        """Return the cache events from a number on; numbers may have gaps."""
        path = f'{const.PATH_CACHE_EVENTS}{since}'
        return self._request(address, 'GET', path, b'', CacheEvents, timeout)

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def _stream(
        self, address: str, generation: Generation, token_timeout: float
    ) -> Generator[Piece, None, None]:
        """Send the request and yield the pieces up to the terminal one."""
        answer = self._connections.send(
            address,
            'POST',
            const.PATH_COMPLETIONS,
            body=encode_request(generation),
            headers={'Content-Type': 'application/json'},
            timeout=token_timeout,
        )
        try:
            if answer.status_code != 200:
                self._raise_error(address, answer, token_timeout)
            yield from self._read_pieces(
                address, answer, generation, token_timeout
            )
        finally:
            answer.release()

    def _read_pieces(
        self,
        address: str,
        answer: Response,
        generation: Generation,
        token_timeout: float,
    ) -> Iterator[Piece]:
        """Yield the pieces that belong to the exchange."""
        checker = StreamChecker(address, generation)
        for event in self._read_events(address, answer, token_timeout):
            if event is None or event.id != generation.exchange:
                checker.record_stray()
                self._record_stray(address, generation, event)
                continue
            piece = checker.read_piece(event)
            yield piece
            if piece.finish is not None:
                self._drain(address, answer)
                return
        raise UpstreamDisconnectedError(
            f'{address} ended its stream without a terminal event',
            'ask again from the last piece received',
        )

    def _read_events(
        self, address: str, answer: Response, token_timeout: float
    ) -> Iterator[StreamEvent | None]:
        """Yield each event until the stream ends; `None` is no event.

        It may have been one before it was damaged.
        """
        while event := self._connections.read_until(
            const.EVENT_END, address, answer, token_timeout
        ):
            if not event.startswith(const.DATA_PREFIX):
                if not is_blank(event):
                    yield None
                continue
            data = event[len(const.DATA_PREFIX) :].strip()
            if data == const.DONE_MARKER:
                return
            yield decode_event(address, data)

    def _drain(self, address: str, answer: Response) -> None:
        """Read the rest of the response, so that its connection is reusable."""
        try:
            self._connections.read(address, answer, const.DRAIN_TIMEOUT_SECONDS)
        except UpstreamError as error:
            _LOGGER.debug('Connection not reused: %s', error)

    def _record_stray(
        self, address: str, generation: Generation, event: StreamEvent | None
    ) -> None:
        """Count and log what is no piece of this exchange."""
        self.dropped += 1
        _LOGGER.warning(
            'Dropped a piece of exchange %s that %s sent to exchange %s',
            'unknown' if event is None else event.id,
            address,
            generation.exchange,
        )

    def _raise_error(
        self, address: str, answer: Response, timeout: float
    ) -> NoReturn:
        """Raise the exception for an error response."""
        data = self._connections.read(address, answer, timeout)
        raise make_error(address, answer.status_code, data)

    def _request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        kind: type[_Answer],
        timeout: float,
    ) -> _Answer:
        """Send a request and decode its JSON response."""
        answer = self._connections.send(
            address, method, path, body=body, timeout=timeout
        )
        if answer.status_code >= 300:
            self._raise_error(address, answer, timeout)
        data = self._connections.read(address, answer, timeout)
        try:
            return decode_json(data, kind)
        except msgspec.MsgspecError as error:
            raise make_malformed_error(address, error) from error

    def _cancel(self, address: str, exchange: str) -> None:
        """Cancel an exchange, which may have ended already."""
        path = f'{const.PATH_CANCEL}{quote(exchange, safe="")}'
        try:
            self._request(
                address, 'POST', path, b'', dict, const.CANCEL_TIMEOUT_SECONDS
            )
        except UpstreamError as error:
            _LOGGER.debug('Exchange %s not cancelled: %s', exchange, error)
