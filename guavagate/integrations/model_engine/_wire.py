"""Encodes requests and checks each streamed event."""

import msgspec

from guavagate.exceptions import UpstreamError
from guavagate.integrations._errors import make_malformed_error
from guavagate.integrations.model_engine.models import StreamEvent
from guavagate.models import WeightVersion
from guavagate.ports.engine import Generation, Piece

_EVENT = msgspec.json.Decoder(StreamEvent)


def encode_request(generation: Generation) -> bytes:
    """Return a generation as the engine's request body."""
    body = msgspec.to_builtins(generation)
    body['request_id'] = body.pop('exchange')
    body['stream'] = True
    return msgspec.json.encode(body)


def decode_event(address: str, data: bytes) -> StreamEvent:
    """Return one event; a malformed one raises `UpstreamError`."""
    try:
        return _EVENT.decode(data)
    except msgspec.MsgspecError as error:
        raise make_malformed_error(address, error) from error


class StreamChecker:
    """Checks that a stream's pieces are whole and state their version.

    Parameters
    ----------
    address
        Named in errors.
    generation
        What was asked for.
    """

    def __init__(self, address: str, generation: Generation) -> None:
        self._address = address
        self._exchange = generation.exchange
        self._tokens = 0
        self._strays = 0

    def record_stray(self) -> None:
        """Note a piece of another exchange."""
        self._strays += 1

    def read_piece(self, event: StreamEvent) -> Piece:
        """Return the event's piece.

        Raises
        ------
        UpstreamError
            It states no version, or a piece before it went missing.
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
        """Compare the engine's count so far with what has arrived.

        When two streams were crossed, our missing piece went to the other
        one: the caller would see a gap although the terminal event is there.
        It must be found before the next piece is passed on, or a resume from
        there would keep the gap. Without a count, a stray piece alone makes
        what follows doubtful.
        """
        gap = self._strays > 0 if total is None else total != self._tokens
        if gap:
            raise UpstreamError(
                f'{self._address} left out a piece of {self._exchange}',
                'resume from the last piece received',
            )
