"""Encodes requests and validates streamed events."""

import msgspec

from guavagate.exceptions import UpstreamError
from guavagate.helpers.decoding import make_json_decoder
from guavagate.integrations._errors import make_malformed_error
from guavagate.integrations.model_engine.models import StreamEvent
from guavagate.models import WeightVersion
from guavagate.ports.engine import Generation, Piece

_EVENT = make_json_decoder(StreamEvent)


def encode_request(generation: Generation) -> bytes:
    """Return the request body for a generation."""
    body = msgspec.to_builtins(generation)
    body['request_id'] = body.pop('exchange')
    body['stream'] = True
    return msgspec.json.encode(body)


def decode_event(address: str, data: bytes) -> StreamEvent:
    """Return an event; a malformed one raises `UpstreamError`."""
    try:
        return _EVENT(data)
    except msgspec.MsgspecError as error:
        raise make_malformed_error(address, error) from error


class StreamChecker:
    """Checks that no piece of a stream is missing or lacks its version.

    Parameters
    ----------
    address
        The engine's address, for error messages.
    generation
        The requested generation.
    """

    def __init__(self, address: str, generation: Generation) -> None:
        self._address = address
        self._exchange = generation.exchange
        self._tokens = 0
        self._strays = 0

    def record_stray(self) -> None:
        """Record that a piece of another exchange arrived."""
        self._strays += 1

    def read_piece(self, event: StreamEvent) -> Piece:
        """Return the event's piece.

        Raises
        ------
        UpstreamError
            The event lacks the version, or an earlier piece is missing.
        """
        if event.weight_version is None or not event.choices:
            raise UpstreamError(
                f'{self._address} does not say which version made its text',
                'have the engine state weight_version on each event',
            )
        choice = event.choices[0]
        self._tokens += event.usage.tokens
        self._check_gap(event.usage.completion_tokens)
        return Piece(
            exchange=self._exchange,
            text=choice.text,
            tokens=event.usage.tokens,
            version=WeightVersion(event.weight_version),
            finish=choice.finish_reason,
            cached_tokens=event.usage.cached_tokens,
        )

    def _check_gap(self, total: int | None) -> None:
        """Compare the engine's token count with the tokens received.

        If an engine mixes up two streams, a piece of this one goes to the
        other, and the text has a gap although the terminal event arrives. The
        gap must be found before the next piece is passed on, because a resume
        after that piece would keep it. Without a count, any piece of another
        exchange counts as a gap.
        """
        gap = self._strays > 0 if total is None else total != self._tokens
        if gap:
            raise UpstreamError(
                f'{self._address} left out a piece of {self._exchange}',
                'resume from the last piece received',
            )
