"""Interface to model engines."""

from collections.abc import Iterator
from typing import Protocol

import msgspec

from guavagate.models import Epoch, RequestId, WeightVersion


class Generation(msgspec.Struct, frozen=True, kw_only=True):
    """A request to an engine to generate a text.

    Parameters
    ----------
    exchange
        Unique id of each upstream exchange, checked on every returned piece.
    resume_text
        Text already received, when an interrupted generation is resumed.
    """

    exchange: RequestId
    prompt: str
    max_tokens: int
    temperature: float = 1.0
    seed: int | None = None
    stop: tuple[str, ...] = ()
    resume_text: str = ''
    resume_tokens: int = 0


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens that one weight version produced.

    Only the last piece has `finish`; a stream without it is incomplete.
    """

    exchange: RequestId
    text: str
    tokens: int
    version: WeightVersion
    finish: str | None = None
    cached_tokens: int = 0


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's report of its state, which may be slightly outdated."""

    version: WeightVersion
    prefetched: tuple[WeightVersion, ...] = ()
    running: int = 0
    queued: int = 0
    slots: int = 0
    leaving: bool = False
    fence: int = 0


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine; `fence` is the epoch of the issuer."""

    action: str
    version: WeightVersion | None = None
    name: str = ''
    fence: Epoch = Epoch(0)


class ModelEngine(Protocol):
    """Sends requests to engines by address."""

    def generate(
        self,
        address: str,
        generation: Generation,
        token_timeout: float,
    ) -> Iterator[Piece]:
        """Stream the pieces.

        Raises `UpstreamNotStartedError` if the engine has not started, and
        `UpstreamError` if the stream breaks, stalls or ends without its
        terminal event. Closing the iterator cancels the work.
        """

    def report(self, address: str, timeout: float) -> EngineReport:
        """Return the engine's report."""

    def order(self, address: str, order: EngineOrder, timeout: float) -> None:
        """Send an order; raise `UpstreamError` if the fence is refused."""
