"""A model engine as the rest of guavagate sees it."""

from collections.abc import Iterator
from typing import Protocol

import msgspec

from guavagate.models import Epoch, RequestId, WeightVersion


class Generation(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine is asked to generate.

    Parameters
    ----------
    exchange
        Unique for each upstream exchange, checked on every piece returned.
    resume_text
        What has been received already when an interrupted one is resumed.
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
    """Some tokens that one weight version produced.

    `finish` is set on the last piece alone; a stream without it is not whole.
    """

    exchange: RequestId
    text: str
    tokens: int
    version: WeightVersion
    finish: str | None = None
    cached_tokens: int = 0


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of itself, with a lag."""

    version: WeightVersion
    prefetched: tuple[WeightVersion, ...] = ()
    running: int = 0
    queued: int = 0
    slots: int = 0
    leaving: bool = False
    fence: int = 0


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine; `fence` is the epoch of the one who orders."""

    action: str
    version: WeightVersion | None = None
    name: str = ''
    fence: Epoch = Epoch(0)


class ModelEngine(Protocol):
    """Speaks to one engine by its address."""

    def generate(
        self,
        address: str,
        generation: Generation,
        token_timeout: float,
    ) -> Iterator[Piece]:
        """Stream the pieces.

        Raises `UpstreamNotStartedError` while nothing can have started, and
        `UpstreamError` when the stream breaks, stalls or ends without its
        terminal event. Closing the iterator cancels the work.
        """

    def report(self, address: str, timeout: float) -> EngineReport:
        """Return the engine's report."""

    def order(self, address: str, order: EngineOrder, timeout: float) -> None:
        """Give an order; a refused fence raises `UpstreamError`."""
